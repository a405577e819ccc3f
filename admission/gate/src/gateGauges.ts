import type { Metrics } from "@knapweedwood/observability.metrics/metrics";
import type { EngineStreams } from "./engineStreams.js";
import type { GateLoad } from "./gateLoad.js";

const INTERVAL_MS = 1000;

/** Sends the load of a gate and its step cost estimates as metrics, once a second. */
export class GateGauges {
    private readonly metrics: Metrics;
    private readonly streams: EngineStreams;
    private lastSentMs = 0;

    constructor(opts: { metrics: Metrics; streams: EngineStreams; }) {
        this.metrics = opts.metrics;
        this.streams = opts.streams;
    }

    /** Sends the gauges, unless they were sent within the last second. */
    send(nowMs: number, loadOf: () => GateLoad): void {
        if (nowMs - this.lastSentMs < INTERVAL_MS) {
            return;
        }
        this.lastSentMs = nowMs;
        const load = loadOf();
        const { fixedMs, perSequenceMs, perPrefillTokenMs } = this.streams.costs;
        const gauges: { [name: string]: number; } = {
            "gate.online_running": load.onlineRunning,
            "gate.online_queued": load.onlineQueued,
            "gate.batch_running": load.batchRunning,
            "gate.batch_queued": load.batchQueued,
            "gate.step_fixed_ms": fixedMs,
            "gate.step_per_sequence_ms": perSequenceMs,
            "gate.step_per_prefill_token_ms": perPrefillTokenMs,
            "gate.step_prediction_error": this.streams.predictionError,
            "gate.stretched_gap_share": this.streams.stretchedGapShare,
        };
        Object.entries(gauges).forEach(([name, value]) => this.metrics.gauge(name, value));
    }
}
