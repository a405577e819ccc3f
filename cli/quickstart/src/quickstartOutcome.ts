/** What the main job came to. */
export interface QuickstartOutcome {
    callsSent: number;
    callsAnswered: number;
    /** Calls whose text was not the one expected. */
    callsWrong: number;
    latenciesMs: number[];
    itemsAccepted: number;
    itemsCompleted: number;
    failures: { customId: string; code: string; }[];
    itemsLost: number;
    itemsDuplicated: number;
}
