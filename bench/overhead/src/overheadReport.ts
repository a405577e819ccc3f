import type { LatencySummary } from "@knapweedwood/bench.load/latencySummary";

/** Report of the experiment. */
export interface OverheadReport {
    /** Rate of one-token completions: mean of the rounds, and the rate of each round. */
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
        saturationPerS: number;
        offeredPerS: number;
        direct: LatencySummary;
        /** Control: the effect of one more process in the path on this machine. */
        passThrough: LatencySummary;
        entry: LatencySummary;
        addedP50Ms: number;
        addedP99Ms: number;
        passThroughAddedP99Ms: number;
    };
    /** Processor time per request, by process. */
    processorTime: { entryMsPerRequest: number; sideMsPerRequest: number; };
    memory: {
        emptyBytes: number;
        entryBytes: number;
        sideBytes: number;
        entryBeyondBytes: number;
        sideBeyondBytes: number;
    };
    /** Number of failed calls by error message. */
    failures: { [reason: string]: number; };
    /** One-minute load average of the machine before and after the run, and its number of processors. */
    machine: { loadBefore: number; loadAfter: number; processors: number; };
    targets: { name: string; target: string; measured: string; isMet: boolean; }[];
}

interface RateSummary {
    meanPerS: number;
    /** Rate of each round, shape [rounds]. */
    roundsPerS: number[];
}
