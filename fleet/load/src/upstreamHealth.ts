import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";

/** Added to the score of an upstream for each failure. */
const FAILURE_WEIGHT = 0.35;
/** Added for a request without a response while the upstream responds to others; some requests take long. */
const NO_RESPONSE_WEIGHT = 0.15;
/** Factor applied to the score on each success. */
const SUCCESS_DECAY = 0.7;
/** Score that ejects an upstream. Two consecutive failures reach it, and so do failures of every other request. */
const EJECTION_SCORE = 0.6;
/** Added when a peer in the same zone ejects the upstream. It may be failing for some processes only. */
const SAME_ZONE_EJECTION_WEIGHT = 0.35;
/** Added when a peer in another zone ejects the upstream. */
const OTHER_ZONE_EJECTION_WEIGHT = 0.2;
/** Time after a local success during which ejections by peers are ignored, in milliseconds. */
const LOCAL_SUCCESS_VALID_MS = 1000;
const FIRST_EJECTION_MS = 400;
const MAX_EJECTION_MS = 4000;
/** Requests that must succeed after an ejection, one at a time, before the upstream gets its full share again. */
const PROBE_REQUESTS = 3;

interface HealthRecord {
    score: number;
    ejections: number;
    ejectedUntilMs: number;
    probesLeft: number;
    /** Whether failures observed by this process led to the last ejection, and not only reports of peers. */
    isEjectedLocally: boolean;
}

/**
 * Tracks the health of upstreams by the outcomes of this process's requests and the ejections reported by peers.
 * Failing upstreams are ejected for a time that doubles with each ejection, then probed with single requests.
 */
export class UpstreamHealth {
    private readonly records = new Map<UpstreamId, HealthRecord>();
    private readonly succeededAtMs = new Map<UpstreamId, number>();

    /** Records a successful request. */
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

    /**
     * Records a failed request.
     *
     * @returns whether this failure ejects the upstream
     */
    onFailure(id: UpstreamId, nowMs: number): boolean {
        return this.addFailure(id, FAILURE_WEIGHT, nowMs);
    }

    /**
     * Records a request without a response so far. It counts as a failure if no other request has succeeded at the
     * upstream since it was sent, otherwise with a lower weight.
     *
     * @returns whether this ejects the upstream
     */
    onNoResponse(id: UpstreamId, sentAtMs: number, nowMs: number): boolean {
        const hasSucceededSince = (this.succeededAtMs.get(id) ?? -Infinity) >= sentAtMs;
        return this.addFailure(id, hasSucceededSince ? NO_RESPONSE_WEIGHT : FAILURE_WEIGHT, nowMs);
    }

    /**
     * Records that a peer has ejected the upstream, so that not every process has to observe the failures itself.
     *
     * @param opts.isSameZone whether the peer is in the zone of this process
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

    /** Returns the upstreams now ejected because of failures observed by this process, shape [upstreams]. */
    locallyEjectedIds(nowMs: number): UpstreamId[] {
        return [...this.records]
            .filter(([, record]) => record.isEjectedLocally && nowMs < record.ejectedUntilMs)
            .map(([id]) => id);
    }

    /**
     * Records that another process responds at the upstream's address. Ejects the upstream for the maximum time, so
     * that its entry can be removed meanwhile.
     */
    onMisdirected(id: UpstreamId, nowMs: number): void {
        const record = this.recordOf(id);
        record.probesLeft = PROBE_REQUESTS;
        record.ejectedUntilMs = nowMs + MAX_EJECTION_MS;
    }

    /** Removes the records of an upstream. */
    forget(id: UpstreamId): void {
        this.records.delete(id);
        this.succeededAtMs.delete(id);
    }

    /** Returns whether a new request may be sent to the upstream, which runs `ownRequests` requests of this process. */
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
