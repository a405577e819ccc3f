import type { Problem } from "@knapweedwood/config.yaml/problem";
import type { ServiceFileDefinitions } from "./serviceFileDefinitions.js";

/** One service file with its positions. */
export interface ParsedServiceFile {
    definitions: ServiceFileDefinitions;
    problems: Problem[];
    /** Describes what is wrong at `path`, with its line. */
    problemAt(path: readonly PropertyKey[], expected: string): Problem;
}
