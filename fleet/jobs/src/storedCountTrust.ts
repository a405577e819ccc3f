import { HELD_JOBS_WRITE_MS } from "./heldJobsWriteMs.js";

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
 */
export class StoredCountTrust {
    private leaderReachableSinceMs: number | undefined;
    private isTrusted = false;

    /** Applies the present state, and returns whether the count contains all jobs. Has to be called frequently. */
    update({ nowMs, isReachable, isLeaderReachable }: TrustInputs): boolean {
        if (!isReachable) {
            this.isTrusted = false;
            this.leaderReachableSinceMs = undefined;
            return false;
        }
        this.leaderReachableSinceMs = isLeaderReachable === false ? undefined : this.leaderReachableSinceMs ?? nowMs;
        this.isTrusted ||= nowMs > (this.leaderReachableSinceMs ?? Infinity) + HELD_JOBS_WRITE_MS;
        return this.isTrusted;
    }
}
