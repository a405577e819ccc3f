import type { YamlProblem } from "./yamlProblem.js";

/** A YAML file that was read, with its positions. */
export interface ParsedYaml<Value> {
    /** Undefined where there are problems. */
    value: Value | undefined;
    /** Everything wrong by the schema, shape [problems]. */
    problems: YamlProblem[];
    /** Describes what else is wrong at `path`, with its line. */
    problemAt(path: readonly PropertyKey[], expected: string): YamlProblem;
}
