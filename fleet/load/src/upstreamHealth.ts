import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";

/** What a failure adds to the score of an upstream. */
const FAILURE_WEIGHT = 0.35;
/** What an unanswered request adds while the upstream answers others: some requests are long. */
const NO_RESPONSE_WEIGHT = 0.15;
/** Share of the score that is left after a success. */
const SUCCESS_DECAY = 0.7;
/** Two failures in a row reach it, and so does failing every other request. */
const EJECTION_SCORE = 0.6;
/** What the ejection by a process of the same zone adds, and by one of another: an upstream may be ill for some only. */
const SAME_ZONE_EJECTION_WEIGHT = 0.35;
const OTHER_ZONE_EJECTION_WEIGHT = 0.2;
/** An answer of its own that is no older counts for more than what others say, in milliseconds. */
const LOCAL_SUCCESS_VALID_MS = 1000;
const FIRST_EJECTION_MS = 400;
const MAX_EJECTION_MS = 4000;
/** Requests that have to succeed after an ejection, one at a time, before the upstream gets its full share again. */
const PROBE_REQUESTS = 3;

interface HealthRecord {
    score: number;
    ejections: number;
    ejectedUntilMs: number;
    probesLeft: number;
    /** Whether failures seen here led to the last ejection, and not only what others told. */
    isEjectedLocally: boolean;
}

/** Judges upstreams by what became of the requests that this process sent them. */
export class UpstreamHealth {
    private readonly records = new Map<UpstreamId, HealthRecord>();
    private readonly succeededAtMs = new Map<UpstreamId, number>();

    onSuccess(id: UpstreamId, nowMs: number): void {
        this.succeededAtMs.set(id, nowMs);
        const record = this.records.get(id);
        if (record === undefined) {
            return;
        }
        record.score *= SUCCESS_DECAY;
        if (record.probesLeft > 0) {
            record.probesLeft -= 1;
            record.ejections -= record.probesLeft === 0 ? 1 : 0;
        }
    }

    /** @returns whether the upstream is ejected by this failure */
    onFailure(id: UpstreamId, nowMs: number): boolean {
        return this.addFailure(id, FAILURE_WEIGHT, nowMs);
    }

    /**
     * Judges a request that has no answer yet: as a failure where the upstream has answered nothing else since the
     * request was sent, as a weak sign otherwise.
     *
     * @returns whether the upstream is ejected
     */
    onNoResponse(id: UpstreamId, sentAtMs: number, nowMs: number): boolean {
        const hasSucceededSince = (this.succeededAtMs.get(id) ?? -Infinity) >= sentAtMs;
        return this.addFailure(id, hasSucceededSince ? NO_RESPONSE_WEIGHT : FAILURE_WEIGHT, nowMs);
    }

    /**
     * Takes in that another process has ejected the upstream, so that not each has to find that out by failures.
     *
     * @param opts.isSameZone whether that process is in the zone of this one
     */
    onPeerEjection(id: UpstreamId, opts: { isSameZone: boolean; nowMs: number; }): void {
        const { isSameZone, nowMs } = opts;
        if ((this.succeededAtMs.get(id) ?? -Infinity) > nowMs - LOCAL_SUCCESS_VALID_MS) {
            return;
        }
        const record = this.recordOf(id);
        if (this.addFailure(id, isSameZone ? SAME_ZONE_EJECTION_WEIGHT : OTHER_ZONE_EJECTION_WEIGHT, nowMs)) {
            record.isEjectedLocally = false;
        }
        if (nowMs < record.ejectedUntilMs) {
            record.ejectedUntilMs = Math.max(record.ejectedUntilMs, nowMs + FIRST_EJECTION_MS);
        }
    }

    /** Upstreams that get no requests now for what this process has seen of them, shape [upstreams]. */
    locallyEjectedIds(nowMs: number): UpstreamId[] {
        return [...this.records]
            .filter(([, record]) => record.isEjectedLocally && nowMs < record.ejectedUntilMs)
            .map(([id]) => id);
    }

    /** Another process answers at the upstream's address: it gets nothing until its entry may have been removed. */
    onMisdirected(id: UpstreamId, nowMs: number): void {
        const record = this.recordOf(id);
        record.probesLeft = PROBE_REQUESTS;
        record.ejectedUntilMs = nowMs + MAX_EJECTION_MS;
    }

    forget(id: UpstreamId): void {
        this.records.delete(id);
        this.succeededAtMs.delete(id);
    }

    /** Whether a new request may go to the upstream, which runs `ownRequests` of this process. */
    isUsable(id: UpstreamId, nowMs: number, ownRequests: number): boolean {
        const record = this.records.get(id);
        if (record === undefined) {
            return true;
        }
        return nowMs >= record.ejectedUntilMs && (record.probesLeft === 0 || ownRequests === 0);
    }

    private addFailure(id: UpstreamId, weight: number, nowMs: number): boolean {
        const record = this.recordOf(id);
        record.score += weight;
        const isProbing = record.probesLeft > 0;
        if (nowMs < record.ejectedUntilMs || (!isProbing && record.score < EJECTION_SCORE)) {
            return false;
        }
        record.score = 0;
        record.ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** record.ejections);
        record.ejections += 1;
        record.probesLeft = PROBE_REQUESTS;
        record.isEjectedLocally = true;
        return true;
    }

    private recordOf(id: UpstreamId): HealthRecord {
        const record = this.records.get(id)
            ?? { score: 0, ejections: 0, ejectedUntilMs: 0, probesLeft: 0, isEjectedLocally: false };
        this.records.set(id, record);
        return record;
    }
}
