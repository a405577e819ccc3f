/** Counts and latencies of a quickstart run, with its failed items. */
export interface QuickstartOutcome {
    callsSent: number;
    callsAnswered: number;
    /** Answered calls whose text differs from the expected text. */
    callsWrong: number;
    /** Latencies of all calls, shape [calls]. */
    latenciesMs: number[];
    itemsAccepted: number;
    itemsCompleted: number;
    failures: { customId: string; code: string; }[];
    /** Number of accepted items that are in no output or error file. */
    itemsLost: number;
    /** Number of output and error lines beyond the first line of an item. */
    itemsDuplicated: number;
}
