import type { Urgency } from "./urgency.js";

/**
 * Compares requests by priority, then those whose response has begun first, then requests that can still meet their
 * objective first, then first attempts before retries, then by arrival. Late requests at the front of the queue would
 * make the others late in turn. This is the order where callers have no teams.
 */
export function compareUrgency(left: Urgency, right: Urgency): number {
    return left.priority - right.priority
        || Number(right.isStarted) - Number(left.isStarted)
        || Number(left.isLate) - Number(right.isLate)
        || Number(left.isRetry) - Number(right.isRetry)
        || left.arrivedAtMs - right.arrivedAtMs;
}
