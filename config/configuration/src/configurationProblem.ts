/** A rule that a configuration breaks. */
export interface ConfigurationProblem {
    /** The record concerned, such as `service/assessments`. */
    recordKey: string;
    /** Path of the field within the record. */
    path: (string | number)[];
    message: string;
}
