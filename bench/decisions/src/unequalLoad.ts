import type { Random } from "@knapweedwood/core.random/random";

/** Engines of unequal speed and the traffic that they serve. */
export interface UnequalLoad {
    /** Returns the slowness of each engine over time, shape [engines]. */
    engines: (random: Random) => ((nowMs: number) => number)[];
    /** Online requests a second over all zones, on average. */
    requestsPerS: number;
    durationMs: number;
    /** Calls that arrive before are not counted, in milliseconds. */
    fromMs: number;
    /** Time at which an engine restarts as a new process with another speed, and which; undefined if none does. */
    restart?: { atMs: number; engine: number; };
}
