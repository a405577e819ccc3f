import type { YamlProblem } from "./yamlProblem.js";

/** A parsed YAML file. Keeps the source positions to report further problems. */
export interface ParsedYaml<Value> {
    /** Undefined if there are problems. */
    value: Value | undefined;
    /** Syntax errors and violations of the schema, shape [problems]. */
    problems: YamlProblem[];
    /** Creates a further problem at `path`, with its line. */
    problemAt(path: readonly PropertyKey[], expected: string): YamlProblem;
}
