import type { LatencySummary } from "@knapweedwood/bench.load/latencySummary";

/** Results of the experiment, checked against the stand-ins' own records of what ran. */
export interface FaultsReport {
    seed: number;
    items: {
        accepted: number;
        completed: number;
        /** Items in the error files, with an error code or an HTTP status as the reason. */
        failed: number;
        /** Items without a result. */
        lost: number;
        /** Results beyond one for each item. */
        doubled: number;
        /** Responses that do not belong to their item. */
        swapped: number;
        /** Runs that the engines started beyond one for each item, as a share of the items. */
        redoneShare: number;
        /** Runs that the engines started. */
        startedRuns: number;
        /** Number of failed items by error code or HTTP status. */
        reasons: { [code: string]: number; };
    };
    /** Items of the job to a service with non-repeatable calls. */
    receipts: { accepted: number; completed: number; unknown: number; lost: number; ranTwice: number; };
    keyedCalls: {
        sent: number;
        answered: number;
        unknown: number;
        notRun: number;
        ranTwice: number;
        /** Calls that ran although their final outcome was `not-run`. */
        notRunButRan: number;
        resends: number;
    };
    /** Time from the kill of an entry until each partition has a live owner. */
    recovery: LatencySummary;
    /** Number of chosen faults by kind, including those skipped because a process was already interrupted. */
    faults: { [kind: string]: number; };
    durationMs: number;
    /** Load average of the machine over one minute, before and after, and its number of processors. */
    machine: { loadBefore: number; loadAfter: number; processors: number; };
    /** Whether nothing was lost, doubled, swapped or run twice, and no call ran that was reported as not run. */
    holds: boolean;
}
