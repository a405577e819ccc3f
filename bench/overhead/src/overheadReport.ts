import type { LatencySummary } from "@knapweedwood/bench.load/latencySummary";

/** Figures of the experiment. */
export interface OverheadReport {
    /** Whole answers of one token a second, best of the rounds and mean of them. */
    requests: {
        direct: RateSummary;
        passThrough: RateSummary;
        entry: RateSummary;
        /** Mean of the entry over the mean of the pass-through. */
        entryShare: number;
    };
    /** Streamed tokens a second. */
    tokens: { direct: RateSummary; passThrough: RateSummary; entry: RateSummary; };
    /** Time to first token at a share of the entry's streaming saturation. */
    firstToken: {
        saturationPerS: number;
        offeredPerS: number;
        direct: LatencySummary;
        /** Control: what the machine itself makes of one more process in the path. */
        passThrough: LatencySummary;
        entry: LatencySummary;
        addedP50Ms: number;
        addedP99Ms: number;
        passThroughAddedP99Ms: number;
    };
    /** Processor time of one request, by process. */
    processorTime: { entryMsPerRequest: number; sideMsPerRequest: number; };
    memory: {
        emptyBytes: number;
        entryBytes: number;
        sideBytes: number;
        entryBeyondBytes: number;
        sideBeyondBytes: number;
    };
    /** Failed calls, by what was wrong. */
    failures: { [reason: string]: number; };
    /** Load of the machine, mean of one minute, and its processors. */
    machine: { loadBefore: number; loadAfter: number; processors: number; };
    targets: { name: string; target: string; measured: string; isMet: boolean; }[];
}

interface RateSummary {
    meanPerS: number;
    /** Shape [rounds]. */
    roundsPerS: number[];
}
