import type { BatchKey } from "./batchKey.js";

/** Next actions of a gate, as chosen by its admission policy. */
export interface GateDecision {
    /** Number of waiting online calls to admit, oldest first. */
    admitOnline: number;
    /** Batch streams to cancel. */
    preempt: BatchKey[];
    /** Batch items to start, in order. */
    start: BatchKey[];
    /** Number of batch items to keep waiting at the gate, in addition to the running ones. */
    targetWaiting: number;
}
