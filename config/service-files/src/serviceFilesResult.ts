import type { Problem } from "@knapweedwood/config.yaml/problem";
import type { ServiceFileDefinitions } from "./serviceFileDefinitions.js";

/** Definitions where `problems` is empty; otherwise everything that is wrong in all files. */
export interface ServiceFilesResult {
    definitions: ServiceFileDefinitions;
    problems: Problem[];
}
