import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ClaimLogEntry } from "./claimLogEntry.js";

/** How long an executor may be missing from the lagging instance list. */
const EXECUTOR_LISTING_GRACE_MS = 10_000;

type UnreleasedEntry = Exclude<ClaimLogEntry, { kind: "released"; }>;

/** The claims of a shard, as its log tells them. */
export class ClaimTable {
    private readonly claims = new Map<string, UnreleasedEntry>();

    get size(): number {
        return this.claims.size;
    }

    /** Takes a committed entry in. Entries come in the order of the log. */
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

    /** Whether an entry of the log still says something that a later one does not. */
    isCurrent(entry: ClaimLogEntry): boolean {
        return this.claims.get(entry.claimId) === entry;
    }

    /** Forgets claims made before `beforeMs`. */
    expire(beforeMs: number): void {
        [...this.claims.values()]
            .filter(entry => entry.atMs < beforeMs)
            .forEach(entry => this.claims.delete(entry.claimId));
    }

    /** What a resend learns of a claim that stands. */
    static classify(
        entry: UnreleasedEntry,
        opts: { requestDigest: string; nowMs: number; isLive: (executor: InstanceId) => boolean; },
    ): "conflict" | "recorded" | "unknown" | "in-progress" {
        if (entry.requestDigest !== opts.requestDigest) {
            return "conflict";
        }
        if (entry.kind === "recorded") {
            return "recorded";
        }
        const isListed = opts.nowMs - entry.atMs < EXECUTOR_LISTING_GRACE_MS || opts.isLive(entry.executor);
        return opts.nowMs >= entry.expiresAtMs || !isListed ? "unknown" : "in-progress";
    }
}
