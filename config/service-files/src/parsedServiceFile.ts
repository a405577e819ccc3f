import type { ServiceFileDefinitions } from "./serviceFileDefinitions.js";
import type { ServiceFileProblem } from "./serviceFileProblem.js";

/** One service file with its positions. */
export interface ParsedServiceFile {
    definitions: ServiceFileDefinitions;
    problems: ServiceFileProblem[];
    /** Describes what is wrong at `path`, with its line. */
    problemAt(path: readonly PropertyKey[], expected: string): ServiceFileProblem;
}
