import type { Clock } from "@knapweedwood/core.clock/clock";
import type { EngineLoad } from "@knapweedwood/engines.model-engine/engineLoad";
import type { GenerateRequest } from "@knapweedwood/engines.model-engine/generateRequest";
import { EngineSequence } from "./engineSequence.js";
import type { EngineTotals } from "./engineTotals.js";
import { LoadHistory } from "./loadHistory.js";
import { PrefixCache } from "./prefixCache.js";
import type { SequenceSink } from "./sequenceSink.js";
import type { StepModel } from "./stepModel.js";

/** Longest timer delay that later steps compensate for. */
const MAX_CATCH_UP_MS = 100;

/**
 * The scheduler of a stand-in engine: continuous batching in steps, first come, first served. Requests that arrive
 * during a step join the next one.
 */
export class EngineCore {
    readonly prefixCache: PrefixCache;
    readonly totals: EngineTotals = {
        steps: 0,
        busyMs: 0,
        decodeTokens: 0,
        batchDecodeTokens: 0,
        prefillTokens: 0,
        batchCancelled: 0,
        batchCancelledTokens: 0,
        batchResumedTokens: 0,
    };
    /** Multiplies the duration of each step. */
    slowFactor = 1;
    private readonly clock: Clock;
    private readonly stepModel: StepModel;
    private readonly loadHistory: LoadHistory;
    private waiting: EngineSequence[] = [];
    private running: EngineSequence[] = [];
    private isStepping = false;
    private isFrozen = false;
    private stepEndMs = 0;
    private lastStepMs = 0;

    constructor(opts: {
        clock: Clock;
        stepModel: StepModel;
        onCacheChange?: (kind: "stored" | "evicted", blockHashes: string[]) => void;
    }) {
        this.clock = opts.clock;
        this.stepModel = opts.stepModel;
        this.loadHistory = new LoadHistory(opts.stepModel.loadLagMs);
        this.prefixCache = new PrefixCache({
            limitTokens: opts.stepModel.prefixCacheTokens,
            onChange: opts.onCacheChange ?? (() => undefined),
        });
    }

    /** Queues a request. Its tokens go to `sink`. */
    submit(request: GenerateRequest, sink: SequenceSink): EngineSequence {
        const sequence = new EngineSequence(request, sink);
        this.totals.batchResumedTokens += sequence.isBatch ? sequence.tokenCount : 0;
        this.waiting.push(sequence);
        this.startStepping();
        return sequence;
    }

    /** Freezes or unfreezes the engine. A frozen engine starts no step. */
    setFrozen(isFrozen: boolean): void {
        this.isFrozen = isFrozen;
        this.startStepping();
    }

    /** Cancels a sequence. If it is running, it leaves the batch at the end of the current step. */
    cancel(sequence: EngineSequence): void {
        if (sequence.isBatch && !sequence.isFinished && !sequence.isCancelled) {
            this.totals.batchCancelled += 1;
            this.totals.batchCancelledTokens += sequence.tokenCount;
        }
        sequence.isCancelled = true;
        this.waiting = this.waiting.filter(other => other !== sequence);
    }

    /** Returns the newest load that is at least `loadLagMs` old, or the current load if there is none. */
    reportedLoad(): EngineLoad {
        return this.loadHistory.reportedAt(this.clock.nowMs()) ?? this.currentLoad();
    }

    /** Returns the current load, which an engine doesn't report. */
    currentLoad(): EngineLoad {
        return {
            runningSequences: this.running.length,
            waitingSequences: this.waiting.length,
            kvTokensUsed: this.kvTokensUsed(),
            kvTokensLimit: this.stepModel.kvTokensLimit,
            maxSequences: this.stepModel.maxSequences,
            lastStepMs: this.lastStepMs,
            maxPrefillTokensPerStep: this.stepModel.maxPrefillTokensPerStep,
        };
    }

    private kvTokensUsed(): number {
        return this.running.reduce((sum, sequence) => sum + sequence.kvTokens, 0);
    }

    private startStepping(): void {
        if (!this.isStepping) {
            this.stepEndMs = this.clock.nowMs();
            this.beginStep();
        }
    }

    private beginStep(): void {
        this.removeCancelled();
        this.admitWaiting();
        this.loadHistory.record(this.clock.nowMs(), this.currentLoad());
        this.isStepping = this.running.length > 0 && !this.isFrozen;
        if (!this.isStepping) {
            return;
        }
        const decoding = this.running.filter(sequence => sequence.prefillTokensLeft === 0);
        const prefillTokens = this.allocatePrefill();
        const durationMs = this.slowFactor * (
            this.stepModel.fixedMs
            + this.stepModel.perSequenceMs * this.running.length
            + this.stepModel.perPrefillTokenMs * prefillTokens
        );
        this.countStep(durationMs, prefillTokens);
        const startMs = Math.max(this.stepEndMs, this.clock.nowMs() - MAX_CATCH_UP_MS);
        this.stepEndMs = startMs + durationMs;
        this.clock.setTimer(Math.max(0, this.stepEndMs - this.clock.nowMs()), () => this.endStep(decoding));
    }

    private countStep(durationMs: number, prefillTokens: number): void {
        this.lastStepMs = durationMs;
        this.totals.steps += 1;
        this.totals.busyMs += durationMs;
        this.totals.prefillTokens += prefillTokens;
    }

    private allocatePrefill(): number {
        return this.running.reduce((allocated, sequence) => {
            const share = Math.min(sequence.prefillTokensLeft, this.stepModel.maxPrefillTokensPerStep - allocated);
            sequence.prefillTokensLeft -= share;
            return allocated + share;
        }, 0);
    }

    private endStep(decoding: EngineSequence[]): void {
        const ready = this.running.filter(sequence => sequence.prefillTokensLeft === 0 && !sequence.isCancelled);
        ready
            .filter(sequence => !decoding.includes(sequence))
            .forEach(sequence => this.prefixCache.store(sequence.prompt));
        ready.forEach(sequence => sequence.produceToken());
        this.totals.decodeTokens += ready.length;
        this.totals.batchDecodeTokens += ready.filter(sequence => sequence.isBatch).length;
        const finished = ready.filter(sequence => sequence.isFinished);
        this.running = this.running.filter(sequence => !finished.includes(sequence));
        finished.forEach(sequence => {
            this.prefixCache.store(sequence.coveredText());
            sequence.sink.finish(sequence.finishReason, sequence.usage);
        });
        this.beginStep();
    }

    private removeCancelled(): void {
        this.running
            .filter(sequence => sequence.isCancelled && sequence.prefillTokensLeft === 0)
            .forEach(sequence => this.prefixCache.store(sequence.coveredText()));
        this.running = this.running.filter(sequence => !sequence.isCancelled);
    }

    private admitWaiting(): void {
        let kvTokensUsed = this.kvTokensUsed();
        const firstNotAdmitted = this.waiting.findIndex((sequence, index) => {
            const isFull = this.running.length + index >= this.stepModel.maxSequences;
            kvTokensUsed += sequence.kvTokens;
            return isFull || kvTokensUsed > this.stepModel.kvTokensLimit && this.running.length + index > 0;
        });
        const admitted = firstNotAdmitted === -1 ? this.waiting : this.waiting.slice(0, firstNotAdmitted);
        this.waiting = firstNotAdmitted === -1 ? [] : this.waiting.slice(firstNotAdmitted);
        admitted.forEach(sequence => sequence.beginPrefill(this.prefixCache.matchTokens(sequence.coveredText())));
        this.running = [...this.running, ...admitted];
    }
}
