import type { YamlProblem } from "@knapweedwood/config.yaml/yamlProblem";
import type { ServiceFileDefinitions } from "./serviceFileDefinitions.js";

/** The definitions of all files, and the problems found in them. The definitions are valid only without problems. */
export interface ServiceFilesResult {
    definitions: ServiceFileDefinitions;
    problems: YamlProblem[];
}
