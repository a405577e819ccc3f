import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";

/** What a failure adds to the score of an upstream. */
const FAILURE_WEIGHT = 0.35;
/** What an unanswered request adds while the upstream answers others: some requests are long. */
const SILENCE_WEIGHT = 0.15;
/** Share of the score that is left after a success. */
const SUCCESS_DECAY = 0.7;
/** Two failures in a row reach it, and so does failing every other request. */
const SCORE_TO_EJECT = 0.6;
const FIRST_EJECTION_MS = 400;
const MAX_EJECTION_MS = 4000;
/** Requests that have to succeed after an ejection, one at a time, before the upstream gets its full share again. */
const TRIALS = 3;

interface HealthRecord {
    score: number;
    ejections: number;
    ejectedUntilMs: number;
    trialsLeft: number;
}

/** Judges upstreams by what became of the requests that this process sent them. */
export class UpstreamHealth {
    private readonly records = new Map<UpstreamId, HealthRecord>();
    private readonly answeredAtMs = new Map<UpstreamId, number>();

    onSuccess(id: UpstreamId, nowMs: number): void {
        this.answeredAtMs.set(id, nowMs);
        const record = this.records.get(id);
        if (record === undefined) {
            return;
        }
        record.score *= SUCCESS_DECAY;
        if (record.trialsLeft > 0) {
            record.trialsLeft -= 1;
            record.ejections -= record.trialsLeft === 0 ? 1 : 0;
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
    onSilence(id: UpstreamId, sentAtMs: number, nowMs: number): boolean {
        const hasAnswered = (this.answeredAtMs.get(id) ?? -Infinity) >= sentAtMs;
        return this.addFailure(id, hasAnswered ? SILENCE_WEIGHT : FAILURE_WEIGHT, nowMs);
    }

    /** Another process answers at the upstream's address: it gets nothing until its entry may have been removed. */
    onMisdirected(id: UpstreamId, nowMs: number): void {
        const record = this.recordOf(id);
        record.trialsLeft = TRIALS;
        record.ejectedUntilMs = nowMs + MAX_EJECTION_MS;
    }

    forget(id: UpstreamId): void {
        this.records.delete(id);
        this.answeredAtMs.delete(id);
    }

    /** Whether a new request may go to the upstream, which runs `ownRequests` of this process. */
    isUsable(id: UpstreamId, nowMs: number, ownRequests: number): boolean {
        const record = this.records.get(id);
        if (record === undefined) {
            return true;
        }
        return nowMs >= record.ejectedUntilMs && (record.trialsLeft === 0 || ownRequests === 0);
    }

    private addFailure(id: UpstreamId, weight: number, nowMs: number): boolean {
        const record = this.recordOf(id);
        record.score += weight;
        const isOnTrial = record.trialsLeft > 0;
        if (nowMs < record.ejectedUntilMs || (!isOnTrial && record.score < SCORE_TO_EJECT)) {
            return false;
        }
        record.score = 0;
        record.ejectedUntilMs = nowMs + Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** record.ejections);
        record.ejections += 1;
        record.trialsLeft = TRIALS;
        return true;
    }

    private recordOf(id: UpstreamId): HealthRecord {
        const record = this.records.get(id) ?? { score: 0, ejections: 0, ejectedUntilMs: 0, trialsLeft: 0 };
        this.records.set(id, record);
        return record;
    }
}
