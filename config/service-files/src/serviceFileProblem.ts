/** One thing that is wrong in a service file. */
export interface ServiceFileProblem {
    /** Path of the file. */
    file: string;
    /** Counts from 1. */
    line: number;
    /** Path within the file, such as `services[0].replicas`. */
    path: string;
    /** What was expected. */
    expected: string;
}
