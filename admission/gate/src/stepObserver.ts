import type { StepCostModel } from "@knapweedwood/admission.cost-model/stepCostModel";
import type { ActiveStream } from "./activeStream.js";

/** Tokens that arrive within this share of a step's fixed cost belong to the same step. */
const SAME_STEP_SHARE = 0.4;
const SHARE_SMOOTHING = 0.0005;

interface ObservedStep {
    startMs: number;
    endMs: number;
    /** Streams that received a token from the step, and whether it was their first token. */
    streams: Map<ActiveStream, { isFirst: boolean; }>;
    /** Streams that were cancelled while the step ran. The step still included them. */
    cancelled: ActiveStream[];
}

/**
 * Detects the steps of the engine from the arrival times of tokens. All running streams receive a token at the end of
 * each step.
 */
export class StepObserver {
    private readonly model: StepCostModel;
    private readonly active: ReadonlySet<ActiveStream>;
    private readonly objectiveMs: () => number;
    private previous: ObservedStep | undefined;
    private current: ObservedStep | undefined;
    private cancelled: ActiveStream[] = [];
    private stretchedShare = 0;

    constructor(opts: { model: StepCostModel; active: ReadonlySet<ActiveStream>; objectiveMs: () => number; }) {
        this.model = opts.model;
        this.active = opts.active;
        this.objectiveMs = opts.objectiveMs;
    }

    /** End of the last observed step, in milliseconds; undefined before the first. */
    get lastStepEndMs(): number | undefined {
        return this.current?.endMs;
    }

    /** Share of recent online token gaps that batch work stretched beyond the objective, in [0, 1]. */
    get stretchedGapShare(): number {
        return this.stretchedShare;
    }

    /** Records the arrival of a token of a stream. */
    tokenArrived(stream: ActiveStream, nowMs: number): void {
        if (this.current === undefined || this.startsNewStep(this.current, stream, nowMs)) {
            this.finishCurrentStep();
            this.previous = this.current;
            this.current = {
                startMs: this.previous?.endMs ?? nowMs,
                endMs: nowMs,
                streams: new Map(),
                cancelled: this.cancelled,
            };
            this.cancelled = [];
        }
        this.current.streams.set(stream, { isFirst: !stream.hasFirstToken });
    }

    /** Records that a stream was cancelled. */
    streamCancelled(stream: ActiveStream): void {
        if (this.current !== undefined && stream.startedAtMs < this.current.endMs) {
            this.cancelled.push(stream);
        }
    }

    private startsNewStep(current: ObservedStep, stream: ActiveStream, nowMs: number): boolean {
        return current.streams.has(stream)
            || nowMs - current.endMs > SAME_STEP_SHARE * this.model.costs.fixedMs;
    }

    private finishCurrentStep(): void {
        const { previous, current } = this;
        if (previous === undefined || current === undefined || !isContiguous(previous, current)) {
            return;
        }
        const durationMs = current.endMs - previous.endMs;
        if (!this.hasMultiStepPrefill({ previous, current })) {
            this.model.observe({
                durationMs,
                sequences: current.streams.size + current.cancelled.length,
                prefillTokens: firstPrefillTokens(current, () => true),
            });
        }
        this.recordStretch(current, durationMs);
    }

    /** Whether a prefill spans several steps, so that its share of this step is unknown. */
    private hasMultiStepPrefill(steps: { previous: ObservedStep; current: ObservedStep; }): boolean {
        const { previous, current } = steps;
        return [...this.active].some(stream => !stream.hasFirstToken && stream.startedAtMs < previous.endMs)
            || [...current.streams].some(([stream, { isFirst }]) => isFirst && stream.startedAtMs < previous.startMs)
            || current.cancelled.some(stream => !stream.hasFirstToken);
    }

    private recordStretch(step: ObservedStep, durationMs: number): void {
        const streams = [...step.streams.keys()];
        const onlineCount = streams.filter(stream => stream.kind === "online").length;
        const { perSequenceMs, perPrefillTokenMs } = this.model.costs;
        const batchMs = perSequenceMs * (streams.length - onlineCount)
            + perPrefillTokenMs * firstPrefillTokens(step, stream => stream.kind === "batch");
        const isStretched = durationMs > this.objectiveMs() && durationMs - batchMs <= this.objectiveMs();
        const weight = 1 - (1 - SHARE_SMOOTHING) ** onlineCount;
        this.stretchedShare += weight * (Number(isStretched) - this.stretchedShare);
    }
}

/** Whether a stream received a token from both steps. Otherwise the engine may have been idle in between. */
function isContiguous(previous: ObservedStep, current: ObservedStep): boolean {
    return [...current.streams.keys()].some(stream => previous.streams.has(stream));
}

function firstPrefillTokens(step: ObservedStep, isCounted: (stream: ActiveStream) => boolean): number {
    return [...step.streams.entries()]
        .filter(([stream, { isFirst }]) => isFirst && isCounted(stream))
        .reduce((sum, [stream]) => sum + stream.prefillTokens, 0);
}
