import type { ServiceFileDefinitions } from "./serviceFileDefinitions.js";
import type { ServiceFileProblem } from "./serviceFileProblem.js";

/** Definitions where `problems` is empty; otherwise everything that is wrong in all files. */
export interface ServiceFilesResult {
    definitions: ServiceFileDefinitions;
    problems: ServiceFileProblem[];
}
