import type { RouteKind } from "./routeKind.js";
import type { WeightedService } from "./weightedService.js";

/** A rule that sends requests of a host and path prefix to a service. */
export interface Route {
    name: string;
    /** Lower case, without a port. */
    host: string;
    /** Begins and ends with a slash. */
    prefix: string;
    kind: RouteKind;
    /** Services that take the requests, shape [services]; at least one. */
    services: WeightedService[];
    /** Longest time that a request may be kept waiting for its answer. */
    timeoutMs: number;
    /** Time within which an answer is on time; for streams until the first event, for jobs until acceptance. */
    objectiveMs: number;
    /** Number of upstreams to which one request may be sent. */
    maxAttempts: number;
    /** 0 is the most urgent. */
    priority: number;
    /** Whether a broken stream may be resumed at another upstream. */
    isResumable: boolean;
    /** Longest pause between events of a stream that is on time; undefined where none is set. */
    maxEventGapMs: number | undefined;
    /** For jobs: when all results are due after the job was first sent. */
    jobDueMs: number | undefined;
    /** For jobs: after which time an item may be given up. */
    jobRetentionMs: number | undefined;
    /** For jobs: most tokens that may wait on the route over all instances; undefined for no limit. */
    maxWaitingTokens: number | undefined;
}
