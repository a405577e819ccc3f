import type { YamlProblem } from "@knapweedwood/config.yaml/yamlProblem";
import type { ServiceFileDefinitions } from "./serviceFileDefinitions.js";

/** Definitions where `problems` is empty; otherwise everything that is wrong in all files. */
export interface ServiceFilesResult {
    definitions: ServiceFileDefinitions;
    problems: YamlProblem[];
}
