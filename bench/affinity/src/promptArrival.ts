/** One request of the simulated load. */
export interface PromptArrival {
    atMs: number;
    prompt: string;
    /** Time to produce the answer once the prompt is read. */
    decodeMs: number;
    entryIndex: number;
}
