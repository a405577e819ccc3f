import type { Route } from "@knapweedwood/fleet.view/route";

/** Shortest time without data after which a caller of a stream disconnects, in milliseconds. */
const MIN_PATIENCE_MS = 2000;
/** The same in units of the route's objective, and of its longest event gap. */
const OBJECTIVES = 4;
const EVENT_GAPS = 8;

/**
 * Returns how long a caller waits for the first data of a response, in milliseconds. Callers of streams disconnect
 * after the longest of three times; all others wait for the route's timeout.
 */
export function callerPatienceMs(route: Pick<Route, "kind" | "timeoutMs" | "objectiveMs" | "maxEventGapMs">): number {
    if (route.kind !== "stream") {
        return route.timeoutMs;
    }
    const silenceMs = Math.max(
        MIN_PATIENCE_MS,
        route.objectiveMs * OBJECTIVES,
        (route.maxEventGapMs ?? 0) * EVENT_GAPS,
    );
    return Math.min(route.timeoutMs, silenceMs);
}
