import type { Route } from "@knapweedwood/fleet.view/route";

/** Share of the route's timeout below which the remaining time identifies a request as a retry. */
const RETRY_REMAINING_SHARE = 0.97;

/** Times of an online request on the clock of the process, in milliseconds. */
export class CallTimes {
    /** Whether the caller retries a request that was rejected before. */
    readonly isRetry: boolean;
    /** Time until which a response meets the route's objective. */
    readonly objectiveAtMs: number;
    /** The earlier of the caller's deadline and the route's timeout. */
    readonly deadlineAtMs: number;

    /** @param opts.remainingMs the time for which the caller waits */
    constructor(route: Route, opts: { arrivedAtMs: number; remainingMs: number; }) {
        const { remainingMs } = opts;
        this.isRetry = remainingMs < route.timeoutMs * RETRY_REMAINING_SHARE;
        this.objectiveAtMs = opts.arrivedAtMs + route.objectiveMs;
        this.deadlineAtMs = opts.arrivedAtMs + Math.min(remainingMs, route.timeoutMs);
    }
}
