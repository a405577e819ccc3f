import type { LatencySummary } from "@knapweedwood/bench.load/latencySummary";

/** Report of the overhead experiment. */
export interface OverheadReport {
    /** Completions of one token per second: mean of the rounds, and the rate of each round. */
    requests: {
        direct: RateSummary;
        passThrough: RateSummary;
        entry: RateSummary;
        /** Mean of the entry over the mean of the pass-through. */
        entryShare: number;
    };
    /** Streamed tokens per second. */
    tokens: { direct: RateSummary; passThrough: RateSummary; entry: RateSummary; };
    /** Time to first token at a share of the entry's streaming saturation. */
    firstToken: {
        /** Streams per second at which the entry is saturated. */
        saturationPerS: number;
        /** Streams per second that each path receives. */
        offeredPerS: number;
        direct: LatencySummary;
        /** Control: the effect of one more process in the path on this machine. */
        passThrough: LatencySummary;
        entry: LatencySummary;
        /** Percentiles of the entry less those of the direct path. */
        addedP50Ms: number;
        addedP99Ms: number;
        /** Percentile of the pass-through less that of the direct path. */
        passThroughAddedP99Ms: number;
    };
    /** Processor time per request, of the entry and of all sides together. */
    processorTime: { entryMsPerRequest: number; sideMsPerRequest: number; };
    /** Resident memory of an idle entry, an idle side and an empty Node.js process. */
    memory: {
        emptyBytes: number;
        entryBytes: number;
        sideBytes: number;
        /** Memory beyond that of the empty process. */
        entryBeyondBytes: number;
        sideBeyondBytes: number;
    };
    /** Number of failed calls by error message. */
    failures: { [reason: string]: number; };
    /** One-minute load average of the machine before and after the run, and its number of processors. */
    machine: { loadBefore: number; loadAfter: number; processors: number; };
    /** Targets with the measured values. */
    targets: { name: string; target: string; measured: string; isMet: boolean; }[];
}

interface RateSummary {
    meanPerS: number;
    /** Rate of each round, shape [rounds]. */
    roundsPerS: number[];
}
