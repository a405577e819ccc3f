/** One thing wrong in a YAML file. */
export interface YamlProblem {
    file: string;
    /** Counts from 1. */
    line: number;
    /** Path of the field, such as `http.port`. */
    path: string;
    /** What was expected. */
    expected: string;
}
