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
        entry: LatencySummary;
        addedP50Ms: number;
        addedP99Ms: number;
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
    failedCalls: number;
    targets: { name: string; target: string; measured: string; isMet: boolean; }[];
}

interface RateSummary {
    meanPerS: number;
    /** Shape [rounds]. */
    roundsPerS: number[];
}
