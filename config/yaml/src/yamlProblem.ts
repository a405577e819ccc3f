/** A syntax error or an invalid value in a YAML file. */
export interface YamlProblem {
    file: string;
    /** Line number, counted from 1. */
    line: number;
    /** Path of the field, such as `http.port`. */
    path: string;
    /** Description of the expected value. */
    expected: string;
}
