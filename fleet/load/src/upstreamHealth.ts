import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";

const FAILURES_TO_EJECT = 2;
const FIRST_EJECTION_MS = 400;
const MAX_EJECTION_MS = 4000;
/** Requests that an upstream gets at a time after an ejection, until one succeeds. */
const TRIAL_REQUESTS = 1;

interface HealthRecord {
    failures: number;
    ejections: number;
    ejectedUntilMs: number;
    isOnTrial: boolean;
}

/** Judges upstreams by what became of the requests that this process sent them. */
export class UpstreamHealth {
    private readonly records = new Map<UpstreamId, HealthRecord>();
    private readonly answeredAtMs = new Map<UpstreamId, number>();

    onSuccess(id: UpstreamId, nowMs: number): void {
        this.records.delete(id);
        this.answeredAtMs.set(id, nowMs);
    }

    /**
     * Judges a request that has no answer yet. It counts as a failure only where the upstream has answered nothing else
     * since the request was sent: some requests are long.
     *
     * @returns whether the upstream is ejected
     */
    onSilence(id: UpstreamId, sentAtMs: number, nowMs: number): boolean {
        const hasAnswered = (this.answeredAtMs.get(id) ?? -Infinity) >= sentAtMs;
        return !hasAnswered && this.onFailure(id, nowMs);
    }

    /** @returns whether the upstream is ejected by this failure */
    onFailure(id: UpstreamId, nowMs: number): boolean {
        const record = this.records.get(id) ?? { failures: 0, ejections: 0, ejectedUntilMs: 0, isOnTrial: false };
        this.records.set(id, record);
        record.failures += 1;
        if (nowMs < record.ejectedUntilMs || (!record.isOnTrial && record.failures < FAILURES_TO_EJECT)) {
            return false;
        }
        record.ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** record.ejections);
        record.ejections += 1;
        record.isOnTrial = true;
        return true;
    }

    /** Another process answers at the upstream's address: it gets nothing until its entry may have been removed. */
    onMisdirected(id: UpstreamId, nowMs: number): void {
        const record = this.records.get(id) ?? { failures: 0, ejections: 0, ejectedUntilMs: 0, isOnTrial: true };
        record.isOnTrial = true;
        record.ejectedUntilMs = nowMs + MAX_EJECTION_MS;
        this.records.set(id, record);
    }

    forget(id: UpstreamId): void {
        this.records.delete(id);
        this.answeredAtMs.delete(id);
    }

    /** Whether a new request may go to the upstream, which runs `ownRequests` of this process. */
    isUsable(id: UpstreamId, nowMs: number, ownRequests: number): boolean {
        const record = this.records.get(id);
        if (record === undefined || !record.isOnTrial) {
            return true;
        }
        return nowMs >= record.ejectedUntilMs && ownRequests < TRIAL_REQUESTS;
    }
}
