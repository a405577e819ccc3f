/** A violation of a configuration rule. */
export interface ConfigurationProblem {
    /** Key of the record that breaks the rule, such as `service/assessments`. */
    recordKey: string;
    /** Path of the field within the record. */
    path: (string | number)[];
    message: string;
}
