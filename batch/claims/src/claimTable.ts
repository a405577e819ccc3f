import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ClaimLogEntry } from "./claimLogEntry.js";

/** How long after a claim its executor may be missing from the instance list, which lags behind. */
const EXECUTOR_LISTING_GRACE_MS = 10_000;

type UnreleasedEntry = Exclude<ClaimLogEntry, { kind: "released"; }>;

/** Current claims of a shard, built from the entries of its log. */
export class ClaimTable {
    private readonly claims = new Map<string, UnreleasedEntry>();

    get size(): number {
        return this.claims.size;
    }

    /** Applies a committed entry. Entries must be applied in log order. */
    apply(entry: ClaimLogEntry): void {
        const current = this.claims.get(entry.claimId);
        if (entry.kind !== "released") {
            if (current?.kind !== "recorded") {
                this.claims.set(entry.claimId, entry);
            }
            return;
        }
        if (current?.kind === "claimed" && current.tokenId === entry.tokenId) {
            this.claims.delete(entry.claimId);
        }
    }

    find(claimId: string): UnreleasedEntry | undefined {
        return this.claims.get(claimId);
    }

    /** Whether no later entry of the log has replaced or released `entry`. */
    isCurrent(entry: ClaimLogEntry): boolean {
        return this.claims.get(entry.claimId) === entry;
    }

    /** Removes claims whose current entry was made before `beforeMs`, in milliseconds since the Unix epoch. */
    expire(beforeMs: number): void {
        [...this.claims.values()]
            .filter(entry => entry.atMs < beforeMs)
            .forEach(entry => this.claims.delete(entry.claimId));
    }

    /** Classifies an existing claim for a repeated request. */
    static classify(
        entry: UnreleasedEntry,
        opts: { requestDigest: string; nowMs: number; isListed: (executor: InstanceId) => boolean; },
    ): "conflict" | "recorded" | "unknown" | "in-progress" {
        if (entry.requestDigest !== opts.requestDigest) {
            return "conflict";
        }
        if (entry.kind === "recorded") {
            return "recorded";
        }
        const mayStillRun = opts.nowMs - entry.atMs < EXECUTOR_LISTING_GRACE_MS || opts.isListed(entry.executor);
        return opts.nowMs >= entry.expiresAtMs || !mayStillRun ? "unknown" : "in-progress";
    }
}
