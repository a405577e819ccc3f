/** One request of the simulated load. */
export interface PromptArrival {
    /** Arrival time since the start of the simulation. */
    atMs: number;
    prompt: string;
    /** Time to generate the response after prefill. */
    decodeMs: number;
    /** Entry that receives the request. */
    entryIndex: number;
}
