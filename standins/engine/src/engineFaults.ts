/** Faults of a stand-in engine, set by `POST /faults`. */
export interface EngineFaults {
    /** Multiplies the duration of each step. */
    slowFactor: number;
    /** Share in [0, 1] of requests that are answered with status 500. */
    errorShare: number;
    /** Answers of the connections that are open now are held back for good. */
    silentConnections: boolean;
    /** No step begins. */
    freeze: boolean;
}
