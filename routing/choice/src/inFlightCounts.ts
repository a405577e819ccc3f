import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { UpstreamCandidate } from "./upstreamCandidate.js";

const REPORT_LAG_MS = 100;

/** The requests that this entry itself has in flight, by upstream. */
export class InFlightCounts {
    /** When each request in flight was started, in milliseconds; shape [requests] by upstream. */
    private readonly startedAtMs = new Map<InstanceId, number[]>();

    onStarted(instanceId: InstanceId, nowMs: number): void {
        const started = this.startedAtMs.get(instanceId) ?? [];
        started.push(nowMs);
        this.startedAtMs.set(instanceId, started);
    }

    onEnded(instanceId: InstanceId): void {
        const started = this.startedAtMs.get(instanceId);
        started?.shift();
        if (started?.length === 0) {
            this.startedAtMs.delete(instanceId);
        }
    }

    /** Requests at an upstream: the gate's count and what was sent there since it counted. */
    loadOf(candidate: UpstreamCandidate, nowMs: number): number {
        const started = this.startedAtMs.get(candidate.instanceId) ?? [];
        const countedAtMs = candidate.countedAtMs ?? nowMs - REPORT_LAG_MS;
        const firstNew = started.findLastIndex(startMs => startMs < countedAtMs) + 1;
        return Math.max(candidate.running + candidate.queued + started.length - firstNew, started.length);
    }
}
