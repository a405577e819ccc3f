import type { Clock } from "@knapweedwood/core.clock/clock";
import type { EngineLoad } from "@knapweedwood/engines.model-engine/engineLoad";
import type { ModelEngine } from "@knapweedwood/engines.model-engine/modelEngine";
import type { GateState } from "./gateState.js";

const POLL_MS = 500;
/** Maximum age of the engine's load report. */
const MAX_REPORT_AGE_MS = 2000;
/** Only the highest of the counts recorded within this time is kept. */
const COUNT_RESOLUTION_MS = 100;
const DEFAULT_LIMITS: GateState["limits"] = { maxSequences: 8, kvTokens: 16_384, prefillTokensPerStep: 512 };

/**
 * Polls the engine's load report. The report lags, but contains data that the gate can't count itself: the engine's
 * limits, and the sequences that did not come through the gate.
 */
export class EngineLoadPoller {
    private readonly clock: Clock;
    private readonly engine: ModelEngine;
    private readonly ownSequences: () => number;
    private readonly recentCounts: { atMs: number; count: number; }[] = [];
    private report: EngineLoad | undefined;
    private isStopped = false;

    constructor(opts: { clock: Clock; engine: ModelEngine; ownSequences: () => number; }) {
        this.clock = opts.clock;
        this.engine = opts.engine;
        this.ownSequences = opts.ownSequences;
    }

    /** Limits from the latest report; defaults before the first one. */
    get limits(): GateState["limits"] {
        return this.report === undefined ? DEFAULT_LIMITS : {
            maxSequences: this.report.maxSequences,
            kvTokens: this.report.kvTokensLimit,
            prefillTokensPerStep: this.report.maxPrefillTokensPerStep ?? DEFAULT_LIMITS.prefillTokensPerStep,
        };
    }

    /**
     * Estimated number of sequences in the engine that did not come through this gate. The report lags, so the highest
     * count that this gate recorded within `MAX_REPORT_AGE_MS` is subtracted from it.
     */
    get externalSequences(): number {
        const reported = (this.report?.runningSequences ?? 0) + (this.report?.waitingSequences ?? 0);
        const own = this.recentCounts.reduce((most, { count }) => Math.max(most, count), this.ownSequences());
        return Math.max(0, reported - own);
    }

    /** Records the current number of this gate's sequences. */
    recordOwnSequences(): void {
        const nowMs = this.clock.nowMs();
        const last = this.recentCounts.at(-1);
        if (last !== undefined && nowMs - last.atMs < COUNT_RESOLUTION_MS) {
            last.count = Math.max(last.count, this.ownSequences());
            return;
        }
        const firstKept = this.recentCounts.findLastIndex(({ atMs }) => atMs < nowMs - MAX_REPORT_AGE_MS);
        this.recentCounts.splice(0, Math.max(0, firstKept));
        this.recentCounts.push({ atMs: nowMs, count: this.ownSequences() });
    }

    /** Starts polling the report. */
    start(): void {
        void this.poll();
    }

    stop(): void {
        this.isStopped = true;
    }

    private async poll(): Promise<void> {
        this.report = await this.engine.load().catch(() => this.report);
        if (!this.isStopped) {
            this.clock.setTimer(POLL_MS, () => void this.poll());
        }
    }
}
