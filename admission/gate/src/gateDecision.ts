import type { BatchKey } from "./batchKey.js";

/** What a gate does next. */
export interface GateDecision {
    /** How many of the waiting online calls enter the engine, oldest first. */
    admitOnline: number;
    /** Batch streams to cancel. */
    preempt: BatchKey[];
    /** Batch items to start, in order. */
    start: BatchKey[];
    /** Batch items to have at hand, beyond those that run. */
    targetWaiting: number;
}
