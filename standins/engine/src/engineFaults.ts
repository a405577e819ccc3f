/** Faults of a stand-in engine, set by `POST /faults`. */
export interface EngineFaults {
    /** Multiplies the duration of each step. */
    slowFactor: number;
    /** Share in [0, 1] of requests that get a response with status 500. */
    errorShare: number;
    /** The connections that are open now stay open, but send nothing more. */
    silentConnections: boolean;
    /** The engine starts no step. */
    freeze: boolean;
}
