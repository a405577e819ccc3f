import type { LatencySummary } from "@knapweedwood/bench.load/latencySummary";

/** Figures of the experiment, audited against the stand-ins' own record of what ran. */
export interface FaultsReport {
    seed: number;
    items: {
        accepted: number;
        completed: number;
        /** Set aside with a typed reason. */
        failed: number;
        lost: number;
        /** Items with more than one result. */
        doubled: number;
        /** Answers that do not belong to their item. */
        swapped: number;
        /** Runs at the engines beyond one for each item, as a share of the items. */
        redoneShare: number;
        startedRuns: number;
        /** Reasons of the failed items, with their counts. */
        reasons: { [code: string]: number; };
    };
    /** Items of a service whose calls may not be repeated. */
    receipts: { accepted: number; completed: number; unknown: number; lost: number; ranTwice: number; };
    keyedCalls: {
        sent: number;
        answered: number;
        unknown: number;
        notRun: number;
        ranTwice: number;
        /** Calls whose last word was "not run" although they ran. */
        notRunButRan: number;
        resends: number;
    };
    /** From the loss of an entry until each partition has a live owner. */
    recovery: LatencySummary;
    faults: { [kind: string]: number; };
    durationMs: number;
    /** Load of the machine, mean of one minute, and its processors. */
    machine: { loadBefore: number; loadAfter: number; processors: number; };
    /** Whether nothing was lost, doubled, swapped or run twice. */
    holds: boolean;
}
