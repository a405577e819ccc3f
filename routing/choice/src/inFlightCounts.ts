import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { UpstreamCandidate } from "./upstreamCandidate.js";

/** Assumed age of the gate's count for candidates without `countedAtMs`. */
const REPORT_LAG_MS = 100;

/** Counts this entry's own in-flight requests by upstream. */
export class InFlightCounts {
    /** Start times of the in-flight requests of each upstream, in milliseconds; shape [requests]. */
    private readonly startedAtMs = new Map<InstanceId, number[]>();

    /** Counts a request that is sent to an upstream. */
    onStarted(instanceId: InstanceId, nowMs: number): void {
        const started = this.startedAtMs.get(instanceId) ?? [];
        started.push(nowMs);
        this.startedAtMs.set(instanceId, started);
    }

    /** Removes the oldest in-flight request of an upstream, whichever has ended. */
    onEnded(instanceId: InstanceId): void {
        const started = this.startedAtMs.get(instanceId);
        started?.shift();
        if (started?.length === 0) {
            this.startedAtMs.delete(instanceId);
        }
    }

    /**
     * Returns the number of requests at an upstream: the gate's count plus the requests sent since that count, but at
     * least this entry's own in-flight requests.
     */
    loadOf(candidate: UpstreamCandidate, nowMs: number): number {
        const started = this.startedAtMs.get(candidate.instanceId) ?? [];
        const countedAtMs = candidate.countedAtMs ?? nowMs - REPORT_LAG_MS;
        const firstNew = started.findLastIndex(startMs => startMs < countedAtMs) + 1;
        return Math.max(candidate.running + candidate.queued + started.length - firstNew, started.length);
    }
}
