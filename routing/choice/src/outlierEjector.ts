import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { EjectionLimits } from "./ejectionLimits.js";
import type { EjectionRecord } from "./ejectionRecord.js";
import type { UpstreamObservation } from "./upstreamObservation.js";

interface OutlierEjectorOptions {
    limits: EjectionLimits;
    /** Called when an upstream is ejected, with the time at which it returns, in milliseconds. */
    onEjected: (instanceId: InstanceId, returnsAtMs: number) => void;
}

const SMOOTHING = 0.1;
const MINIMUM_PEERS = 2;

/** Ejects upstreams that fail or are slow compared with their peers. */
export class OutlierEjector {
    private readonly opts: OutlierEjectorOptions;
    private readonly recordById = new Map<InstanceId, EjectionRecord>();

    constructor(opts: OutlierEjectorOptions) {
        this.opts = opts;
    }

    /** Returns whether an upstream is ejected at `nowMs`. */
    isEjected(instanceId: InstanceId, nowMs: number): boolean {
        return (this.recordById.get(instanceId)?.ejectedUntilMs ?? 0) > nowMs;
    }

    /** Removes upstreams that are no longer listed. */
    retain(instanceIds: readonly InstanceId[]): void {
        const present = new Set(instanceIds);
        [...this.recordById.keys()]
            .filter(instanceId => !present.has(instanceId))
            .forEach(instanceId => this.recordById.delete(instanceId));
    }

    /** Records the result of a request and ejects the upstream if it is now an outlier. Ignores abandoned requests. */
    observe(observation: UpstreamObservation): void {
        if (observation.kind === "abandoned") {
            return;
        }
        const record = this.update(observation);
        if (!this.isEjected(observation.instanceId, observation.nowMs) && this.isOutlier(observation, record)) {
            this.eject(observation, record);
        }
    }

    private update(observation: UpstreamObservation): EjectionRecord {
        const previous = this.recordById.get(observation.instanceId);
        const isFailure = observation.kind === "failure";
        const durationMs = previous === undefined || previous.observationCount === 0
            ? observation.durationMs
            : smooth(previous.durationMs, observation.durationMs);
        const record: EjectionRecord = {
            consecutiveFailures: isFailure ? (previous?.consecutiveFailures ?? 0) + 1 : 0,
            failureShare: smooth(previous?.failureShare ?? 0, observation.kind === "success" ? 0 : 1),
            durationMs: isFailure ? previous?.durationMs ?? observation.durationMs : durationMs,
            observationCount: (previous?.observationCount ?? 0) + 1,
            ejectedUntilMs: previous?.ejectedUntilMs ?? 0,
            ejectionCount: previous?.ejectionCount ?? 0,
        };
        this.recordById.set(observation.instanceId, record);
        return record;
    }

    private isOutlier({ instanceId, kind }: UpstreamObservation, record: EjectionRecord): boolean {
        const { limits } = this.opts;
        if (record.consecutiveFailures >= limits.consecutiveFailures) {
            return true;
        }
        if (record.observationCount < limits.minimumObservations) {
            return false;
        }
        return kind !== "success" && record.failureShare >= limits.failureShare || this.isSlow(instanceId, record);
    }

    private isSlow(instanceId: InstanceId, record: EjectionRecord): boolean {
        const { limits } = this.opts;
        const peerDurationsMs = [...this.recordById]
            .filter(([peerId, peer]) => peerId !== instanceId && peer.observationCount >= limits.minimumObservations)
            .map(([, peer]) => peer.durationMs)
            .sort((left, right) => left - right);
        if (peerDurationsMs.length < MINIMUM_PEERS) {
            return false;
        }
        const medianMs = peerDurationsMs[Math.floor(peerDurationsMs.length / 2)];
        return record.durationMs > medianMs * limits.slowFactor;
    }

    private eject({ instanceId, nowMs }: UpstreamObservation, record: EjectionRecord): void {
        const { limits, onEjected } = this.opts;
        const ejectedCount = [...this.recordById.keys()].filter(other => this.isEjected(other, nowMs)).length;
        if (ejectedCount + 1 > this.recordById.size * limits.maxEjectedShare) {
            return;
        }
        const isRepeated = nowMs - record.ejectedUntilMs < limits.maxMs;
        const ejectionCount = isRepeated ? record.ejectionCount + 1 : 1;
        const durationMs = Math.min(limits.maxMs, limits.baseMs * 2 ** (ejectionCount - 1));
        this.recordById.set(instanceId, {
            consecutiveFailures: 0,
            failureShare: 0,
            durationMs: 0,
            observationCount: 0,
            ejectedUntilMs: nowMs + durationMs,
            ejectionCount,
        });
        onEjected(instanceId, nowMs + durationMs);
    }
}

function smooth(previous: number, sample: number): number {
    return previous + SMOOTHING * (sample - previous);
}
