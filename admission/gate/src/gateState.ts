import type { StepCosts } from "@knapweedwood/admission.cost-model/stepCosts";
import type { BatchKey } from "./batchKey.js";
import type { GateObjective } from "./gateObjective.js";

/** Estimated resources that a request needs in the engine. */
export interface WorkSize {
    /** Prompt tokens that are not expected in the prefix cache. */
    prefillTokens: number;
    /** Maximum KV-cache memory that the request needs, in tokens. */
    kvTokens: number;
}

/** A running batch item. */
export interface RunningBatchItem extends WorkSize {
    key: BatchKey;
    producedTokens: number;
    dueAtMs: number;
    /** Whether no step of the engine can have included it yet. */
    isPending: boolean;
    /** Whether the engine has begun its prefill and not finished it. */
    isPrefilling: boolean;
}

/** A batch item that waits at the gate. */
export interface WaitingBatchItem extends WorkSize {
    key: BatchKey;
    dueAtMs: number;
    waitingSinceMs: number;
    /** Whether an earlier stream of it was cancelled after the first token. */
    isResumed: boolean;
}

/** An online request that waits at the gate. */
export interface WaitingOnlineCall extends WorkSize {
    waitingSinceMs: number;
}

/** Input of an admission decision. */
export interface GateState {
    nowMs: number;
    objective: GateObjective;
    costs: StepCosts;
    limits: { maxSequences: number; kvTokens: number; prefillTokensPerStep: number; };
    /** Sequences in the engine that did not come through this gate. */
    externalSequences: number;
    online: {
        running: number;
        kvTokens: number;
        /** Prompt tokens of running calls that the engine has not processed yet. */
        prefillTokens: number;
        waiting: WaitingOnlineCall[];
        /** Recent arrival rate, in calls per second. */
        arrivalsPerSecond: number;
    };
    batch: {
        running: RunningBatchItem[];
        waiting: WaitingBatchItem[];
    };
}
