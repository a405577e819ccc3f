import type { LimitDecision } from "./limitDecision.js";
import type { LimitRelease } from "./limitRelease.js";
import type { LimitRequest } from "./limitRequest.js";

/** Admits requests according to the limits of teams and keys. */
export interface Limiter {
    /** Admits a request and counts it, or rejects it. */
    tryAcquire(request: LimitRequest): LimitDecision;
    /** Ends a request that was admitted. */
    release(release: LimitRelease): void;
}
