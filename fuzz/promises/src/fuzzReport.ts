/** The result of a fuzz run. */
export interface FuzzReport {
    hasFailed: boolean;
    /** Cases run, without those that shrinking runs. */
    runCount: number;
    /** The path that replays the failing case with the same seed; undefined after a pass. */
    path: string | undefined;
    /** The failing case, shrunk unless shrinking is off, and its error; undefined after a pass. */
    message: string | undefined;
}
