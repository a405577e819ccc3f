import type { AdmissionPolicy } from "./admissionPolicy.js";
import { BatchCapacity } from "./batchCapacity.js";
import { fittingOnlineCalls } from "./fittingOnlineCalls.js";
import type { GateDecision } from "./gateDecision.js";
import type { GateState, RunningBatchItem, WaitingBatchItem } from "./gateState.js";

/** Due times are compared in buckets of this length. Items in one bucket are equally urgent. */
const DUE_GRANULARITY_MS = 60_000;
/** After this wait at the gate, an item is started even if its prefill exceeds the capacity of a step. */
const OVERSIZED_ITEM_WAIT_MS = 5000;
/** Items kept waiting in advance, as a share of the running ones. */
const PREFETCH_SHARE = 0.25;
const MIN_PREFETCHED = 2;

/**
 * Admits online work at once. Batch work fills the remaining capacity of the next step, and is preempted as soon as
 * online work needs the capacity.
 */
export class OnlineFirstPolicy implements AdmissionPolicy {
    decide(state: GateState): GateDecision {
        const admitOnline = fittingOnlineCalls(state);
        const capacity = BatchCapacity.afterAdmitting(state, admitOnline);
        const preempted = this.choosePreempted(state, capacity);
        const started = preempted.length > 0 ? [] : this.chooseStarted(state, capacity);
        return {
            admitOnline,
            preempt: preempted.map(item => item.key),
            start: started.map(item => item.key),
            targetWaiting: this.targetWaiting(state, capacity),
        };
    }

    private choosePreempted(state: GateState, capacity: BatchCapacity): RunningBatchItem[] {
        if (!capacity.isExceeded) {
            return [];
        }
        return [...state.batch.running]
            .sort((left, right) =>
                Number(capacity.isBlocking(right)) - Number(capacity.isBlocking(left))
                || compareCancellationCost(left, right)
            )
            .filter(item => capacity.isExceeded && capacity.release(item));
    }

    private chooseStarted(state: GateState, capacity: BatchCapacity): WaitingBatchItem[] {
        const candidates = [...state.batch.waiting].sort(compareUrgency);
        const started = candidates.filter(item => capacity.tryReserve(item));
        if (started.length > 0 || state.batch.running.some(item => item.isPending)) {
            return started;
        }
        return candidates
            .filter(item =>
                state.nowMs - item.waitingSinceMs > OVERSIZED_ITEM_WAIT_MS && capacity.tryReserveOversized(item)
            )
            .slice(0, 1);
    }

    private targetWaiting(state: GateState, capacity: BatchCapacity): number {
        const running = state.batch.running.length;
        return Math.ceil(Math.max(MIN_PREFETCHED, capacity.freeSequences + running * PREFETCH_SHARE));
    }
}

/** Sorts by the cost of cancelling: none for pending items, otherwise growing with the progress of the item. */
function compareCancellationCost(left: RunningBatchItem, right: RunningBatchItem): number {
    return Number(right.isPending) - Number(left.isPending) || left.producedTokens - right.producedTokens;
}

function compareUrgency(left: WaitingBatchItem, right: WaitingBatchItem): number {
    return dueBucketOf(left) - dueBucketOf(right)
        || Number(right.isResumed) - Number(left.isResumed)
        || left.prefillTokens - right.prefillTokens;
}

function dueBucketOf(item: WaitingBatchItem): number {
    return Math.floor(item.dueAtMs / DUE_GRANULARITY_MS);
}
