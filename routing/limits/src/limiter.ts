import type { LimitDecision } from "./limitDecision.js";
import type { LimitRelease } from "./limitRelease.js";
import type { LimitRequest } from "./limitRequest.js";

/** Lets requests in by the limits of teams and keys. */
export interface Limiter {
    /** Lets a request in and counts it, or refuses it. */
    tryAcquire(request: LimitRequest): LimitDecision;
    /** Ends a request that was let in. */
    release(release: LimitRelease): void;
}
