import { HELD_JOBS_WRITE_MS } from "./heldJobsWriteMs.js";

/** Longest time for which the key-value service rejects some instances while it serves others, in milliseconds. */
const MAX_PARTIAL_OUTAGE_MS = 9000;

interface TrustInputs {
    nowMs: number;
    /** Whether this process reaches the key-value service. */
    isReachable: boolean;
    /** Whether the leader reports that it reaches it; undefined if no leader is known. */
    isLeaderReachable: boolean | undefined;
}

/**
 * Decides in a gateway whether the stored count of waiting tokens contains all jobs. After an outage it lacks those that
 * runners hold, until the leader has written them. A process that has just started may have missed an outage.
 *
 * If the service keeps rejecting the leader, the count is trusted after the longest time of such a fault.
 */
export class StoredCountTrust {
    private reachableSinceMs: number | undefined;
    private leaderReachableSinceMs: number | undefined;
    private isTrusted = false;

    /** Applies the present state, and returns whether the count contains all jobs. Has to be called frequently. */
    update({ nowMs, isReachable, isLeaderReachable }: TrustInputs): boolean {
        if (!isReachable) {
            this.isTrusted = false;
            this.reachableSinceMs = undefined;
            this.leaderReachableSinceMs = undefined;
            return false;
        }
        this.reachableSinceMs ??= nowMs;
        this.leaderReachableSinceMs = isLeaderReachable === false ? undefined : this.leaderReachableSinceMs ?? nowMs;
        const mayBeUnwritten = (sinceMs: number) => nowMs <= sinceMs + HELD_JOBS_WRITE_MS;
        this.isTrusted ||= this.leaderReachableSinceMs !== undefined && !mayBeUnwritten(this.leaderReachableSinceMs);
        this.isTrusted ||= !mayBeUnwritten(this.reachableSinceMs + MAX_PARTIAL_OUTAGE_MS);
        return this.isTrusted;
    }
}
