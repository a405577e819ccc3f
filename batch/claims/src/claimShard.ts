import type { OwnedPartition } from "@knapweedwood/batch.ownership/ownedPartition";
import type { SegmentStore } from "@knapweedwood/batch.segments/segmentStore";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { PartitionId } from "@knapweedwood/core.ids/partitionId";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { Random } from "@knapweedwood/core.random/random";
import { ClaimLog } from "./claimLog.js";
import type { ClaimLogEntry } from "./claimLogEntry.js";
import type { ClaimResult } from "./claimResult.js";
import { ClaimTable } from "./claimTable.js";
import type { ClaimToken } from "./claimToken.js";
import type { RecordedResponse } from "./recordedResponse.js";
import type { StoredResponse } from "./storedResponse.js";

const MAX_ENTRIES_PER_PAGE = 1000;
const MAX_PAGE_BYTES = 700_000;
const MAX_INLINE_BODY_BYTES = 16_000;
const ENTRY_OVERHEAD_BYTES = 400;

/** Options of {@link ClaimShard}. */
export interface ClaimShardOptions {
    shardId: PartitionId;
    keyValue: KeyValueService;
    segmentStore: SegmentStore;
    clock: Clock;
    random: Random;
    /** Returns the proof of ownership; undefined while this instance must not commit. */
    ownedPartition: () => OwnedPartition | undefined;
    /** Returns whether the instance list contains the entry instance that sends a call, in any state. */
    isListed: (executor: InstanceId) => boolean;
    /** Minimum time between two writes of this shard, in milliseconds. */
    commitIntervalMs: number;
    /** How long claims and recorded responses are stored, in milliseconds. */
    retentionMs: number;
}

interface PendingEntry {
    entry: ClaimLogEntry;
    sizeBytes: number;
    resolve: () => void;
    reject: (error: unknown) => void;
}

/** Owner of one shard of claims. Decides on claims and commits many log entries in one write. */
export class ClaimShard {
    private readonly opts: ClaimShardOptions;
    private readonly log: ClaimLog;
    private table = new ClaimTable();
    /** Claims whose decision is not committed yet, by claim id. Each promise resolves after the write. */
    private readonly undecidedClaims = new Map<string, Promise<void>>();
    private pending: PendingEntry[] = [];
    private flushing: Promise<void> | undefined;
    private lastCommitAtMs = Number.NEGATIVE_INFINITY;
    private loading: Promise<void> | undefined;

    constructor(opts: ClaimShardOptions) {
        this.opts = opts;
        this.log = new ClaimLog(opts);
    }

    /** Reads the shard's log once, and again after a failed read or write. */
    async load(): Promise<void> {
        this.loading ??= this.log.load().then(
            entries => {
                // Compaction compares entries by identity, so entries of an earlier read must not remain.
                this.table = new ClaimTable();
                entries.forEach(entry => this.table.apply(entry));
            },
            (error: unknown) => {
                this.loading = undefined;
                throw error;
            },
        );
        await this.loading;
    }

    /**
     * Decides a claim. Resolves once the decision is committed. Rejects with `CLAIM_SHARD_MOVED` (outcome `not-run`) if
     * this instance no longer owns the shard.
     */
    async claim(opts: {
        token: ClaimToken;
        requestDigest: string;
        timeoutMs: number;
        executor: InstanceId;
    }): Promise<ClaimResult> {
        const { claimId, tokenId } = opts.token;
        await this.load();
        for (
            let undecided = this.undecidedClaims.get(claimId);
            undecided !== undefined;
            undecided = this.undecidedClaims.get(claimId)
        ) {
            await undecided;
            await this.load();
        }
        const current = this.table.find(claimId);
        if (current !== undefined) {
            const isOwn = current.kind === "claimed" && current.tokenId === tokenId;
            return isOwn
                ? { kind: "granted", token: opts.token }
                : await this.toClaimResult(current, opts.requestDigest);
        }
        const nowMs = this.opts.clock.nowMs();
        const { requestDigest, executor } = opts;
        const expiresAtMs = nowMs + opts.timeoutMs;
        const decision = this.append({
            kind: "claimed",
            claimId,
            tokenId,
            requestDigest,
            executor,
            atMs: nowMs,
            expiresAtMs,
        });
        const decided = decision.then(() => undefined, () => undefined).finally(() =>
            this.undecidedClaims.delete(claimId)
        );
        this.undecidedClaims.set(claimId, decided);
        await decision;
        return { kind: "granted", token: opts.token };
    }

    /**
     * Records a response under the granted token. Rejects with `CLAIM_SHARD_MOVED` (outcome `not-run`) if this instance no
     * longer owns the shard.
     *
     * @returns whether a response is recorded under this token
     */
    async record(token: ClaimToken, response: RecordedResponse): Promise<boolean> {
        await this.load();
        const current = this.table.find(token.claimId);
        if (current?.tokenId !== token.tokenId || current.kind === "recorded") {
            return current?.tokenId === token.tokenId;
        }
        const { claimId, tokenId } = token;
        const stored = await this.storeResponse(response);
        const atMs = this.opts.clock.nowMs();
        const { requestDigest } = current;
        await this.append({ kind: "recorded", claimId, tokenId, requestDigest, atMs, answer: stored });
        return true;
    }

    /**
     * Releases the claim that the token holds. Rejects with `CLAIM_SHARD_MOVED` (outcome `not-run`) if this instance no
     * longer owns the shard.
     *
     * @returns whether the claim no longer exists
     */
    async release(token: ClaimToken): Promise<boolean> {
        await this.load();
        const current = this.table.find(token.claimId);
        if (current?.kind !== "claimed" || current.tokenId !== token.tokenId) {
            return current === undefined;
        }
        const { claimId, tokenId } = token;
        await this.append({ kind: "released", claimId, tokenId, atMs: this.opts.clock.nowMs() });
        return true;
    }

    /** Waits until the pending entries are written; ignores failed writes. */
    async flush(): Promise<void> {
        await this.flushing?.catch(() => undefined);
    }

    /** Resolves once the entry is committed. Rejects with `CLAIM_SHARD_MOVED` if this instance no longer owns the shard. */
    private append(entry: ClaimLogEntry): Promise<void> {
        const bodyBytes = entry.kind === "recorded" ? entry.answer.body?.length ?? 0 : 0;
        return new Promise((resolve, reject) => {
            this.pending.push({ entry, sizeBytes: bodyBytes + ENTRY_OVERHEAD_BYTES, resolve, reject });
            this.flushing ??= this.commitPending().finally(() => this.flushing = undefined);
        });
    }

    private async commitPending(): Promise<void> {
        const { clock, commitIntervalMs, retentionMs } = this.opts;
        while (this.pending.length > 0) {
            await sleep(clock, this.lastCommitAtMs + commitIntervalMs - clock.nowMs());
            const page = this.takePage();
            this.lastCommitAtMs = clock.nowMs();
            await this.commitPage(page);
            const expiredBeforeMs = clock.nowMs() - retentionMs;
            await this.log.compact(this.table, expiredBeforeMs).then(
                () => this.table.expire(expiredBeforeMs),
                () => undefined,
            );
        }
    }

    private async commitPage(page: PendingEntry[]): Promise<void> {
        try {
            if (!await this.log.append(page.map(pending => pending.entry))) {
                throw ownershipLostError();
            }
            page.forEach(pending => this.table.apply(pending.entry));
            page.forEach(pending => pending.resolve());
        }
        catch (error) {
            // Another owner may have written, or this page was written anyway: the log is read again before the next decision.
            this.loading = undefined;
            page.forEach(pending => pending.reject(error));
        }
    }

    private takePage(): PendingEntry[] {
        let sizeBytes = 0;
        const end = this.pending.findIndex((pending, index) => {
            sizeBytes += pending.sizeBytes;
            return index >= MAX_ENTRIES_PER_PAGE || (index > 0 && sizeBytes > MAX_PAGE_BYTES);
        });
        return this.pending.splice(0, end === -1 ? this.pending.length : end);
    }

    private async toClaimResult(
        current: Exclude<ClaimLogEntry, { kind: "released"; }>,
        requestDigest: string,
    ): Promise<ClaimResult> {
        const nowMs = this.opts.clock.nowMs();
        const kind = ClaimTable.classify(current, { requestDigest, nowMs, isListed: this.opts.isListed });
        return kind === "recorded" && current.kind === "recorded"
            ? { kind, answer: await this.readResponse(current.answer) }
            : { kind: kind as Exclude<typeof kind, "recorded"> };
    }

    private async storeResponse(response: RecordedResponse): Promise<StoredResponse> {
        const { statusCode, headers } = response;
        const body = Buffer.from(response.body);
        if (body.length <= MAX_INLINE_BODY_BYTES) {
            return { statusCode, headers, body: body.toString("base64"), bodyDigest: undefined };
        }
        return { statusCode, headers, body: undefined, bodyDigest: await this.opts.segmentStore.put(body) };
    }

    private async readResponse(stored: StoredResponse): Promise<RecordedResponse> {
        const body = stored.bodyDigest === undefined
            ? Buffer.from(stored.body ?? "", "base64")
            : await this.opts.segmentStore.get(stored.bodyDigest);
        return { statusCode: stored.statusCode, headers: stored.headers, body };
    }
}

function ownershipLostError(): KnapweedError {
    return new KnapweedError("CLAIM_SHARD_MOVED", "This instance no longer owns the shard of the claim", {
        outcome: "not-run",
        statusCode: 503,
    });
}
