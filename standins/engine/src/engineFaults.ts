/** Faults of a stand-in engine, set by `POST /faults`. */
export interface EngineFaults {
    /** Multiplies the duration of each step. */
    slowFactor: number;
    /** Share in [0, 1] of requests that get a response with status 500. */
    errorShare: number;
    /** Permanently silences the connections that are open now: they pass no more requests and responses. */
    silentConnections: boolean;
    /** Whether the engine is frozen: it starts no step. */
    freeze: boolean;
}
