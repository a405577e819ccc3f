import type { YamlProblem } from "@knapweedwood/config.yaml/yamlProblem";
import type { ServiceFileDefinitions } from "./serviceFileDefinitions.js";

/** One parsed service file. Keeps the source positions to report further problems. */
export interface ParsedServiceFile {
    definitions: ServiceFileDefinitions;
    problems: YamlProblem[];
    /** Creates a problem at `path`, with its line. */
    problemAt(path: readonly PropertyKey[], expected: string): YamlProblem;
}
