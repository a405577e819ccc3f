import type { UpstreamProcessKey } from "@knapweedwood/core.ids/upstreamProcessKey";

/** A crash of an upstream process of which this process knows. */
export interface KnownCrash {
    process: UpstreamProcessKey;
    /** Time at which this process learned of it, in milliseconds. */
    atMs: number;
    /** Whether a probe of a quarantined trait was broken off by it. */
    hadProbe: boolean;
    /** Whether the upstream process has turned out to live on. */
    isWithdrawn: boolean;
}
