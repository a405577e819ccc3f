import type { RequestKind } from "./requestKind.js";
import type { WeightedService } from "./weightedService.js";

/** A rule that sends requests of a host and path prefix to a service. */
export interface Route {
    name: string;
    /** Lower case, without a port. */
    host: string;
    /** Begins and ends with a slash. */
    prefix: string;
    kind: RequestKind;
    /** Services that handle the requests, shape [services]; at least one. */
    services: WeightedService[];
    /** Longest time that a request may wait for its response, in milliseconds. */
    timeoutMs: number;
    /**
     * Objective for the response time, in milliseconds. For streams it covers the time to the first event, for jobs
     * the time to acceptance.
     */
    objectiveMs: number;
    /** Maximum number of upstreams to which one request is sent. */
    maxAttempts: number;
    /** 0 is the most urgent. */
    priority: number;
    /** Whether callers need no key although the configuration has teams. */
    isAnonymous: boolean;
    /** Whether a broken stream may be resumed at another upstream. */
    isResumable: boolean;
    /** Longest gap between events that still meets the objective of a stream, in milliseconds; undefined if not set. */
    maxEventGapMs: number | undefined;
    /** For jobs: time from the first submission until all results are due, in milliseconds. */
    jobDueMs: number | undefined;
    /** For jobs: time after which an item may be abandoned, in milliseconds. */
    jobRetentionMs: number | undefined;
    /** For jobs: maximum number of tokens waiting on the route over all instances; undefined for no limit. */
    maxWaitingTokens: number | undefined;
}
