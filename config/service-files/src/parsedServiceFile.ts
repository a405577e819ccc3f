import type { YamlProblem } from "@knapweedwood/config.yaml/yamlProblem";
import type { ServiceFileDefinitions } from "./serviceFileDefinitions.js";

/** One service file with its positions. */
export interface ParsedServiceFile {
    definitions: ServiceFileDefinitions;
    problems: YamlProblem[];
    /** Describes what is wrong at `path`, with its line. */
    problemAt(path: readonly PropertyKey[], expected: string): YamlProblem;
}
