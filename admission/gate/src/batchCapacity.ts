import { stepDurationMs } from "@knapweedwood/admission.cost-model/stepDurationMs";
import { batchStepLimitMs } from "./batchStepLimitMs.js";
import type { GateState, RunningBatchItem, WorkSize } from "./gateState.js";

const MS_PER_SECOND = 1000;
/** Number of steps for whose expected arrivals slots are reserved. A cancelled stream keeps its slot for that long. */
const HEADROOM_STEPS = 1;
/** Standard deviations that are reserved on top of the expected arrivals. */
const HEADROOM_DEVIATIONS = 1;

/** Capacity of the engine's next step that remains for batch work, after online work and headroom for arrivals. */
export class BatchCapacity {
    private readonly state: GateState;
    private readonly limitMs: number;
    private readonly reservedSequences: number;
    private readonly onlineSequences: number;
    private readonly onlinePrefillTokens: number;
    private readonly onlineKvTokens: number;
    private blockingPrefills: number;
    private batchSequences: number;
    private batchPrefillTokens: number;
    private batchKvTokens: number;

    private constructor(state: GateState, admitOnline: number) {
        const admitted = state.online.waiting.slice(0, admitOnline);
        const { running } = state.batch;
        this.state = state;
        this.limitMs = batchStepLimitMs(state);
        this.onlineSequences = state.online.running + admitOnline + state.externalSequences;
        this.onlinePrefillTokens = state.online.prefillTokens + sumOf(admitted, "prefillTokens");
        this.onlineKvTokens = state.online.kvTokens + sumOf(admitted, "kvTokens");
        this.blockingPrefills = running.filter(item => this.isBlocking(item)).length;
        this.batchSequences = running.length;
        this.batchPrefillTokens = sumOf(running.filter(item => item.isPending), "prefillTokens");
        this.batchKvTokens = sumOf(running, "kvTokens");
        this.reservedSequences = expectedArrivals(state);
    }

    /** Returns the capacity that remains once the oldest `admitOnline` waiting online calls are admitted. */
    static afterAdmitting(state: GateState, admitOnline: number): BatchCapacity {
        return new BatchCapacity(state, admitOnline);
    }

    /** Whether running batch work must be preempted. */
    get isExceeded(): boolean {
        if (this.batchSequences === 0) {
            return false;
        }
        return this.onlineSequences + this.batchSequences > this.state.limits.maxSequences
            || this.onlineKvTokens + this.batchKvTokens > this.state.limits.kvTokens
            || (this.isStepExceeded(0) && !this.isOnlySequence)
            || this.hasMultiStepPrefill
            || (this.blockingPrefills > 0 && this.onlinePrefillTokens > 0);
    }

    /** Whether the unfinished prefill of an item takes several steps. It delays all later prefills meanwhile. */
    isBlocking(item: RunningBatchItem): boolean {
        return (item.isPrefilling || item.isPending) && this.isOversized(item);
    }

    /** Number of sequences that batch work can add. */
    get freeSequences(): number {
        const freeStepMs = this.limitMs - this.stepMs(0);
        const byStep = freeStepMs / Math.max(this.state.costs.perSequenceMs, Number.EPSILON);
        return Math.max(0, Math.floor(Math.min(this.freeSlots, byStep)));
    }

    /** Releases the capacity of an item that is to be cancelled. @returns true, so that it can be used in a filter */
    release(item: RunningBatchItem): boolean {
        this.blockingPrefills -= this.isBlocking(item) ? 1 : 0;
        this.batchSequences -= 1;
        this.batchPrefillTokens -= item.isPending ? item.prefillTokens : 0;
        this.batchKvTokens -= item.kvTokens;
        return true;
    }

    /** Reserves capacity for an item, if there is enough. @returns whether it was reserved */
    tryReserve(item: WorkSize): boolean {
        if (this.freeSequences === 0 || !this.hasKvTokens(item)) {
            return false;
        }
        if (this.hasMultiStepPrefill || this.isOversized(item) || this.isStepExceeded(item.prefillTokens, 1)) {
            return false;
        }
        this.reserve(item);
        return true;
    }

    /**
     * Reserves capacity for an item that exceeds the limit of a step. One such item runs at a time, so that no item
     * waits forever.
     *
     * @returns whether there was a free slot
     */
    tryReserveOversized(item: WorkSize): boolean {
        const hasSequence = this.batchSequences === 0 ? this.freeSlots > 0 : this.freeSequences > 0;
        if (!hasSequence || !this.hasKvTokens(item) || this.onlinePrefillTokens > 0) {
            return false;
        }
        this.reserve(item);
        return true;
    }

    private get freeSlots(): number {
        return this.state.limits.maxSequences - this.reservedSequences - this.onlineSequences - this.batchSequences;
    }

    /** Whether a single batch sequence runs and its prefill is done. It may exceed the limit of a step. */
    private get isOnlySequence(): boolean {
        return this.batchSequences === 1 && this.batchPrefillTokens === 0;
    }

    private reserve(item: WorkSize): void {
        this.batchSequences += 1;
        this.batchPrefillTokens += item.prefillTokens;
        this.batchKvTokens += item.kvTokens;
    }

    private hasKvTokens(item: WorkSize): boolean {
        return this.onlineKvTokens + this.batchKvTokens + item.kvTokens <= this.state.limits.kvTokens;
    }

    private isStepExceeded(addedPrefillTokens: number, addedSequences = 0): boolean {
        return this.stepMs(addedPrefillTokens, addedSequences) > this.limitMs;
    }

    private isOversized(item: WorkSize): boolean {
        return item.prefillTokens > this.state.limits.prefillTokensPerStep;
    }

    /** Whether online prefill takes several steps. Batch work would lengthen each of them. */
    private get hasMultiStepPrefill(): boolean {
        return this.onlinePrefillTokens > this.state.limits.prefillTokensPerStep;
    }

    private stepMs(addedPrefillTokens: number, addedSequences = 0): number {
        const prefillTokens = this.onlinePrefillTokens + this.batchPrefillTokens + addedPrefillTokens;
        return stepDurationMs(this.state.costs, {
            sequences: this.onlineSequences + this.batchSequences + addedSequences,
            prefillTokens: Math.min(prefillTokens, this.state.limits.prefillTokensPerStep),
        });
    }
}

function expectedArrivals(state: GateState): number {
    const stepMs = Math.max(state.objective.tokenGapObjectiveMs, state.costs.fixedMs);
    const expected = state.online.arrivalsPerSecond * HEADROOM_STEPS * stepMs / MS_PER_SECOND;
    return Math.floor(expected + HEADROOM_DEVIATIONS * Math.sqrt(expected));
}

function sumOf(items: WorkSize[], field: keyof WorkSize): number {
    return items.reduce((sum, item) => sum + item[field], 0);
}
