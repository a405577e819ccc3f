/** A time in which an upstream named a limit in its responses. */
export interface UpstreamLimitRecord {
    upstreamId: string;
    ratePerS: number;
    /** Time of the first response with the limit; undefined until then. */
    namedAtMs: number | undefined;
    /** Infinity while the upstream names it. */
    toMs: number;
    /** Times at which requests arrived meanwhile, also those that were rejected, shape [requests]. */
    arrivedAtMs: number[];
}
