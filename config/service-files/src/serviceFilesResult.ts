import type { YamlProblem } from "@knapweedwood/config.yaml/yamlProblem";
import type { ServiceFileDefinitions } from "./serviceFileDefinitions.js";

/** The definitions of all files, and the problems found in them. Definitions are complete only if `problems` is empty. */
export interface ServiceFilesResult {
    definitions: ServiceFileDefinitions;
    problems: YamlProblem[];
}
