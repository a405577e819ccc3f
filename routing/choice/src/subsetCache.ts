import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { SubsetPolicy } from "./subsetPolicy.js";
import type { UpstreamCandidate } from "./upstreamCandidate.js";

const MAX_AGE_MS = 1000;

/** Caches the last subset, because the upstreams seldom change. */
export class SubsetCache {
    private readonly policy: SubsetPolicy;
    private instanceIds: readonly InstanceId[] = [];
    private subset = new Set<InstanceId>();
    private expiresAtMs = 0;

    constructor(policy: SubsetPolicy) {
        this.policy = policy;
    }

    /** Returns the candidates in the subset; shape [subset]. */
    select(candidates: readonly UpstreamCandidate[], nowMs: number): UpstreamCandidate[] {
        if (nowMs >= this.expiresAtMs || !this.isCurrentFor(candidates)) {
            this.instanceIds = candidates.map(candidate => candidate.instanceId);
            this.subset = new Set(this.policy.subsetOf(this.instanceIds));
            this.expiresAtMs = nowMs + MAX_AGE_MS;
        }
        return candidates.filter(candidate => this.subset.has(candidate.instanceId));
    }

    private isCurrentFor(candidates: readonly UpstreamCandidate[]): boolean {
        return candidates.length === this.instanceIds.length
            && candidates.every((candidate, index) => candidate.instanceId === this.instanceIds[index]);
    }
}
