/** Counts and latencies of a quickstart run, with its failed items. */
export interface QuickstartOutcome {
    callsSent: number;
    callsAnswered: number;
    /** Answered calls whose text differs from the expected text. */
    callsWrong: number;
    latenciesMs: number[];
    itemsAccepted: number;
    itemsCompleted: number;
    failures: { customId: string; code: string; }[];
    itemsLost: number;
    itemsDuplicated: number;
}
