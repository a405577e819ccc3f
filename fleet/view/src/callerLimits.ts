/** Limits on the size of callers' requests and on the time that their connections may stay idle. */
export interface CallerLimits {
    maxHeaderBytes: number;
    maxBodyBytes: number;
    headerTimeoutMs: number;
    idleTimeoutMs: number;
}
