import type { StepCosts } from "@knapweedwood/admission.cost-model/stepCosts";
import type { BatchKey } from "./batchKey.js";
import type { GateObjective } from "./gateObjective.js";

/** What a request asks of the engine. */
export interface WorkSize {
    /** Prompt tokens that are not expected in the prefix cache. */
    prefillTokens: number;
    /** KV-cache memory that the request needs at most. */
    kvTokens: number;
}

/** A batch item that runs. */
export interface RunningBatchItem extends WorkSize {
    key: BatchKey;
    producedTokens: number;
    dueAtMs: number;
    /** Whether the engine can't have taken it into a step yet. */
    isPending: boolean;
    /** Whether the engine has begun its prefill and not ended it. */
    isPrefilling: boolean;
}

/** A batch item that waits at the gate. */
export interface WaitingBatchItem extends WorkSize {
    key: BatchKey;
    dueAtMs: number;
    waitingSinceMs: number;
    /** Whether an earlier stream of it was cancelled. */
    isResumed: boolean;
}

/** An online request that waits at the gate. */
export interface WaitingOnlineCall extends WorkSize {
    waitingSinceMs: number;
}

/** All that an admission decision rests on. */
export interface GateState {
    nowMs: number;
    objective: GateObjective;
    costs: StepCosts;
    limits: { maxSequences: number; kvTokens: number; prefillTokensPerStep: number; };
    /** Sequences at the engine that did not come through this gate. */
    externalSequences: number;
    online: {
        running: number;
        kvTokens: number;
        /** Prompt tokens of running calls that the next steps have still to process. */
        prefillTokens: number;
        waiting: WaitingOnlineCall[];
        /** Recent arrivals, per second. */
        arrivalsPerSecond: number;
    };
    batch: {
        running: RunningBatchItem[];
        waiting: WaitingBatchItem[];
    };
}
