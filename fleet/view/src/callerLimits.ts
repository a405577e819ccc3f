/** Bounds on what a caller may send and on how long a connection may stay idle. */
export interface CallerLimits {
    maxHeaderBytes: number;
    maxBodyBytes: number;
    headerTimeoutMs: number;
    idleTimeoutMs: number;
}
