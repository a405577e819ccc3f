/** A call of the bench after its end. */
export interface CallRecord {
    linkIndex: number;
    startedMs: number;
    endedMs: number;
    /** Time beyond what the handler itself took. */
    addedMs: number;
    outcome: "complete" | "wrong" | "not-run" | "unknown";
}
