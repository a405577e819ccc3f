import { StepCostModel } from "@knapweedwood/admission.cost-model/stepCostModel";
import type { StepCosts } from "@knapweedwood/admission.cost-model/stepCosts";
import type { Clock } from "@knapweedwood/core.clock/clock";
import type { GenerateRequest } from "@knapweedwood/engines.model-engine/generateRequest";
import type { ActiveStream } from "./activeStream.js";
import type { WorkSize } from "./gateState.js";
import { StepObserver } from "./stepObserver.js";
import type { WorkEstimator } from "./workEstimator.js";

const INITIAL_COSTS: StepCosts = { fixedMs: 10, perSequenceMs: 0.5, perPrefillTokenMs: 0.05 };

/** Tracks the requests in the engine and estimates its step costs from the arrival times of their tokens. */
export class EngineStreams {
    private readonly clock: Clock;
    private readonly estimator: WorkEstimator;
    private readonly model = new StepCostModel({ initial: INITIAL_COSTS });
    private readonly active = new Set<ActiveStream>();
    private readonly observer: StepObserver;
    private readonly onFirstToken: (stream: ActiveStream) => void;

    constructor(opts: {
        clock: Clock;
        estimator: WorkEstimator;
        objectiveMs: () => number;
        onFirstToken: (stream: ActiveStream) => void;
    }) {
        this.clock = opts.clock;
        this.estimator = opts.estimator;
        this.onFirstToken = opts.onFirstToken;
        this.observer = new StepObserver({
            model: this.model,
            active: this.active,
            objectiveMs: opts.objectiveMs,
        });
    }

    /** Current estimate of the engine's step costs. */
    get costs(): StepCosts {
        return this.model.costs;
    }

    /** Mean absolute relative error of recent step duration predictions. */
    get predictionError(): number {
        return this.model.relativeError;
    }

    /** Number of open streams. */
    get count(): number {
        return this.active.size;
    }

    /** Share of recent online token gaps that batch work stretched beyond the objective, in [0, 1]. */
    get stretchedGapShare(): number {
        return this.observer.stretchedGapShare;
    }

    /** Adds the stream of a request that is sent to the engine now. */
    open(kind: ActiveStream["kind"], size: WorkSize): ActiveStream {
        const stream: ActiveStream = { kind, ...size, startedAtMs: this.clock.nowMs(), hasFirstToken: false };
        this.active.add(stream);
        return stream;
    }

    /** Removes a stream that has ended. Has no effect if it was removed before. */
    close(stream: ActiveStream): void {
        this.active.delete(stream);
    }

    /** Records that a stream was cancelled. It stays open until the engine has released it. */
    streamCancelled(stream: ActiveStream): void {
        this.observer.streamCancelled(stream);
    }

    /** Records the arrival of a token. */
    tokenArrived(stream: ActiveStream, request: GenerateRequest): void {
        this.observer.tokenArrived(stream, this.clock.nowMs());
        if (!stream.hasFirstToken) {
            stream.hasFirstToken = true;
            this.estimator.recordProcessed(request);
            this.onFirstToken(stream);
        }
    }

    /** Whether no step can have included the stream yet. */
    isPending(stream: ActiveStream): boolean {
        return !stream.hasFirstToken && stream.startedAtMs >= (this.observer.lastStepEndMs ?? 0);
    }

    /** Returns the open streams of one kind, shape [streams]. */
    ofKind(kind: ActiveStream["kind"]): ActiveStream[] {
        return [...this.active].filter(stream => stream.kind === kind);
    }
}
