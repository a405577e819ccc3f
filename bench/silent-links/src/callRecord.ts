/** Result of one call. */
export interface CallRecord {
    linkIndex: number;
    /** Start on the clock of `performance.now()`. */
    startedMs: number;
    /** End on the clock of `performance.now()`. */
    endedMs: number;
    /** Latency beyond the duration of the handler. */
    addedMs: number;
    /** `wrong` means missing, repeated, reordered or foreign frames, or a handler that was started again. */
    outcome: "complete" | "wrong" | "not-run" | "unknown";
}
