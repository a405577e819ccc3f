import type { OwnedPartition } from "@knapweedwood/batch.ownership/ownedPartition";
import { PartitionOwnership } from "@knapweedwood/batch.ownership/partitionOwnership";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import { digestOf } from "@knapweedwood/core.hashing/digestOf";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { PartitionId } from "@knapweedwood/core.ids/partitionId";
import type { CallDefinition } from "@knapweedwood/links.calls/callDefinition";
import { singleFrame } from "@knapweedwood/links.calls/singleFrame";
import { setMaxListeners } from "node:events";
import { claimCall } from "./claimCall.js";
import type { ClaimRequest } from "./claimRequest.js";
import type { ClaimResult } from "./claimResult.js";
import type { ClaimServiceOptions } from "./claimServiceOptions.js";
import { ClaimShard } from "./claimShard.js";
import type { ClaimToken } from "./claimToken.js";
import { recordResponseCall } from "./recordResponseCall.js";
import type { RecordedResponse } from "./recordedResponse.js";
import { releaseClaimCall } from "./releaseClaimCall.js";

const DEFAULT_TIMEOUT_MS = 120_000;
const DEFAULT_RETENTION_MS = 24 * 60 * 60 * 1000;
const DEFAULT_WRITE_BUDGET_PER_SECOND = 128;
const MS_PER_SECOND = 1000;
const CALL_TIMEOUT_MS = 3000;
const CLAIM_PATIENCE_MS = 5000;
const RECORD_PATIENCE_MS = 60_000;
const RETRY_MS = 50;
const MAX_RETRY_MS = 1000;
const SHARD_HASH_DIGITS = 8;
const HEXADECIMAL = 16;

/** At-most-once claims of calls that may not be repeated, from any entry instance. */
export class ClaimService {
    private readonly opts: ClaimServiceOptions;
    private readonly ownership: PartitionOwnership;
    private readonly shards = new Map<PartitionId, ClaimShard>();
    private readonly stopping = new AbortController();
    private entries: InstanceId[] = [];
    private tokenCount = 0;

    constructor(opts: ClaimServiceOptions) {
        this.opts = opts;
        setMaxListeners(0, this.stopping.signal);
        this.ownership = new PartitionOwnership({
            ...opts,
            scope: "claims",
            partitionCount: opts.shardCount,
            liveEntries: () => this.liveEntries(),
            onAcquired: partition => this.acquired(partition),
            onLost: shardId => void this.shards.delete(shardId),
            onRelease: async shardId => {
                await this.shards.get(shardId)?.flush();
                this.shards.delete(shardId);
            },
        });
        const { endpoint } = opts;
        const shardOf = (token: ClaimToken) => this.shard(token);
        endpoint.handle(claimCall, async function*(request) {
            yield await shardOf(request.token).claim(request);
        });
        endpoint.handle(recordResponseCall, async function*(request) {
            yield { recorded: await shardOf(request.token).record(request.token, request.answer) };
        });
        endpoint.handle(releaseClaimCall, async function*(request) {
            yield { released: await shardOf(request.token).release(request.token) };
        });
    }

    start(): void {
        this.ownership.start();
    }

    async stop(): Promise<void> {
        this.stopping.abort();
        await this.ownership.stop();
    }

    /**
     * Claims a call before it is sent. Throws `CLAIM_UNAVAILABLE` (`not-run`) where no claim can be decided now.
     */
    async claim(request: ClaimRequest): Promise<ClaimResult> {
        const token = this.createToken(request);
        const { requestDigest } = request;
        const timeoutMs = request.timeoutMs ?? DEFAULT_TIMEOUT_MS;
        const executor = this.opts.instanceId;
        try {
            const result = await this.insist(
                CLAIM_PATIENCE_MS,
                claimCall,
                { token, requestDigest, timeoutMs, executor },
                shard => shard.claim({ token, requestDigest, timeoutMs, executor }),
            );
            this.opts.metrics.increment("claims.claim", { result: result.kind });
            return result;
        }
        catch (error) {
            // An attempt may have been committed all the same: the call is not sent, so the claim is given back.
            void this.release(token).catch(() => undefined);
            throw new KnapweedError("CLAIM_UNAVAILABLE", "The claim of the call could not be decided", {
                cause: error,
                outcome: "not-run",
                statusCode: 503,
                retryAfterMs: CLAIM_PATIENCE_MS,
            });
        }
    }

    /** Records the answer of a claimed call; resolves once a resend will get it. */
    async record(token: ClaimToken, answer: RecordedResponse): Promise<void> {
        await this.insist(RECORD_PATIENCE_MS, recordResponseCall, { token, answer }, async shard => ({
            recorded: await shard.record(token, answer),
        }));
    }

    /** Gives a claim back. Only for a call that provably did not run. */
    async release(token: ClaimToken): Promise<void> {
        await this.insist(RECORD_PATIENCE_MS, releaseClaimCall, { token }, async shard => ({
            released: await shard.release(token),
        }));
    }

    /** Asks the owner of the shard, wherever it is, until it answers or patience ends. */
    private async insist<Request extends { token: ClaimToken; }, Frame>(
        patienceMs: number,
        definition: CallDefinition<Request, Frame>,
        request: Request,
        locally: (shard: ClaimShard) => Promise<Frame>,
    ): Promise<Frame> {
        const { clock, random } = this.opts;
        const untilMs = clock.nowMs() + patienceMs;
        let retryMs = RETRY_MS;
        for (;;) {
            try {
                return await this.ask(definition, request, locally);
            }
            catch (thrown) {
                const delayMs = retryMs * (0.5 + random.next() / 2);
                if (clock.nowMs() + delayMs >= untilMs || this.stopping.signal.aborted) {
                    throw toKnapweedError(thrown);
                }
                await sleep(clock, delayMs, this.stopping.signal);
                retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
            }
        }
    }

    private async ask<Request extends { token: ClaimToken; }, Frame>(
        definition: CallDefinition<Request, Frame>,
        request: Request,
        locally: (shard: ClaimShard) => Promise<Frame>,
    ): Promise<Frame> {
        const shard = this.shards.get(request.token.shardId);
        if (shard !== undefined) {
            return await locally(shard);
        }
        const address = this.ownership.holderAddress(request.token.shardId);
        if (address === undefined || address === this.opts.address()) {
            throw notOwned();
        }
        const link = this.opts.endpoint.connect(address);
        return await singleFrame(link.call(definition, request, { timeoutMs: CALL_TIMEOUT_MS }));
    }

    private shard(token: ClaimToken): ClaimShard {
        const shard = this.shards.get(token.shardId);
        if (shard === undefined) {
            throw notOwned();
        }
        return shard;
    }

    private acquired(partition: OwnedPartition): void {
        const shardId = partition.partitionId;
        const shard = new ClaimShard({
            ...this.opts,
            shardId,
            owned: () => {
                const owned = this.ownership.owned(shardId);
                return owned?.fencingNumber === partition.fencingNumber ? owned : undefined;
            },
            isLive: executor => this.entries.includes(executor),
            commitIntervalMs: this.opts.shardCount * MS_PER_SECOND
                / (this.opts.writeBudgetPerSecond ?? DEFAULT_WRITE_BUDGET_PER_SECOND),
            retentionMs: this.opts.retentionMs ?? DEFAULT_RETENTION_MS,
        });
        this.shards.set(shardId, shard);
        shard.load().catch((error: unknown) => {
            this.opts.logger.warn("claims not read", { shardId, code: toKnapweedError(error).code });
        });
    }

    private createToken(request: ClaimRequest): ClaimToken {
        const claimId = digestOf(JSON.stringify([request.teamId, request.service, request.idempotencyKey]));
        const hash = Number.parseInt(claimId.slice(0, SHARD_HASH_DIGITS), HEXADECIMAL);
        const shardId = String(hash % this.opts.shardCount) as PartitionId;
        const unique = this.opts.random.nextInteger(2 ** 31);
        const tokenId = `${this.opts.instanceId}-${this.opts.clock.nowMs()}-${this.tokenCount++}-${unique}`;
        return { shardId, claimId, tokenId };
    }

    private async liveEntries(): Promise<InstanceId[]> {
        try {
            const records = await this.opts.instanceList.list();
            this.entries = records.filter(record => record.kind === "entry").map(record => record.instanceId);
            return records
                .filter(record => record.kind === "entry" && record.state === "live")
                .map(record => record.instanceId);
        }
        catch {
            return this.entries;
        }
    }
}

function notOwned(): KnapweedError {
    return new KnapweedError("CLAIM_SHARD_MOVED", "This instance does not own the shard of the claim", {
        outcome: "not-run",
        statusCode: 503,
    });
}
