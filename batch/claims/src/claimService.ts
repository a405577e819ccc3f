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
import { recordAnswerCall } from "./recordAnswerCall.js";
import type { RecordedResponse } from "./recordedResponse.js";
import { releaseClaimCall } from "./releaseClaimCall.js";

const DEFAULT_CLAIM_TIMEOUT_MS = 120_000;
const DEFAULT_RETENTION_MS = 24 * 60 * 60 * 1000;
const DEFAULT_WRITE_BUDGET_PER_SECOND = 128;
const MS_PER_SECOND = 1000;
const LINK_CALL_TIMEOUT_MS = 3000;
const CLAIM_RETRY_TIMEOUT_MS = 5000;
const RECORD_RETRY_TIMEOUT_MS = 60_000;
const INITIAL_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 1000;
const SHARD_HASH_DIGITS = 8;
const HEX_RADIX = 16;

/** Grants at-most-once claims on calls that must not be repeated. Any entry instance can make a claim. */
export class ClaimService {
    private readonly opts: ClaimServiceOptions;
    private readonly ownership: PartitionOwnership;
    private readonly shards = new Map<PartitionId, ClaimShard>();
    private readonly stopping = new AbortController();
    private knownEntryIds: InstanceId[] = [];
    private tokenCount = 0;

    constructor(opts: ClaimServiceOptions) {
        this.opts = opts;
        setMaxListeners(0, this.stopping.signal);
        this.ownership = new PartitionOwnership({
            ...opts,
            scope: "claims",
            partitionCount: opts.shardCount,
            liveEntries: () => this.listLiveEntryIds(),
            onAcquired: partition => this.addShard(partition),
            onLost: shardId => void this.shards.delete(shardId),
            onRelease: async shardId => {
                await this.shards.get(shardId)?.flush();
                this.shards.delete(shardId);
            },
        });
        const { endpoint } = opts;
        const shardOf = (token: ClaimToken) => this.ownedShard(token);
        endpoint.handle(claimCall, async function*(request) {
            yield await shardOf(request.token).claim(request);
        });
        endpoint.handle(recordAnswerCall, async function*(request) {
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
     * Claims a call before it is sent. Rejects with `CLAIM_UNAVAILABLE` (outcome `not-run`) if no decision can be made
     * now.
     */
    async claim(request: ClaimRequest): Promise<ClaimResult> {
        const token = this.createToken(request);
        const { requestDigest } = request;
        const timeoutMs = request.timeoutMs ?? DEFAULT_CLAIM_TIMEOUT_MS;
        const executor = this.opts.instanceId;
        try {
            const result = await this.callWithRetries(
                CLAIM_RETRY_TIMEOUT_MS,
                claimCall,
                { token, requestDigest, timeoutMs, executor },
                shard => shard.claim({ token, requestDigest, timeoutMs, executor }),
            );
            this.opts.metrics.increment("claims.claim", { result: result.kind });
            return result;
        }
        catch (error) {
            // An attempt may still have been committed. The call is not sent, so the claim is released.
            void this.release(token).catch(() => undefined);
            throw new KnapweedError("CLAIM_UNAVAILABLE", "Could not get a decision on the claim of this call", {
                cause: error,
                outcome: "not-run",
                statusCode: 503,
                retryAfterMs: CLAIM_RETRY_TIMEOUT_MS,
            });
        }
    }

    /**
     * Records the response of a claimed call. Resolves once it is recorded: repeated requests then receive it. Rejects with
     * `CLAIM_NOT_HELD` if the token does not hold the claim, and if no owner of the shard records the response within
     * RECORD_RETRY_TIMEOUT_MS.
     */
    async record(token: ClaimToken, response: RecordedResponse): Promise<void> {
        const { recorded } = await this.callWithRetries(
            RECORD_RETRY_TIMEOUT_MS,
            recordAnswerCall,
            { token, answer: response },
            async shard => ({
                recorded: await shard.record(token, response),
            }),
        );
        if (!recorded) {
            throw new KnapweedError(
                "CLAIM_NOT_HELD",
                "The response is not recorded: its token does not hold the claim",
            );
        }
    }

    /** Releases a claim. Only for a call that provably did not run. */
    async release(token: ClaimToken): Promise<void> {
        await this.callWithRetries(RECORD_RETRY_TIMEOUT_MS, releaseClaimCall, { token }, async shard => ({
            released: await shard.release(token),
        }));
    }

    /** Calls the owner of the shard, local or remote, and retries until a call succeeds or `retryTimeoutMs` is over. */
    private async callWithRetries<Request extends { token: ClaimToken; }, Frame>(
        retryTimeoutMs: number,
        definition: CallDefinition<Request, Frame>,
        request: Request,
        callLocal: (shard: ClaimShard) => Promise<Frame>,
    ): Promise<Frame> {
        const { clock, random } = this.opts;
        const deadlineMs = clock.nowMs() + retryTimeoutMs;
        let retryDelayMs = INITIAL_RETRY_DELAY_MS;
        for (;;) {
            try {
                return await this.callShardOwner(definition, request, callLocal);
            }
            catch (thrown) {
                const delayMs = retryDelayMs * (0.5 + random.next() / 2);
                if (clock.nowMs() + delayMs >= deadlineMs || this.stopping.signal.aborted) {
                    throw toKnapweedError(thrown);
                }
                await sleep(clock, delayMs, this.stopping.signal);
                retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, retryDelayMs * 2);
            }
        }
    }

    private async callShardOwner<Request extends { token: ClaimToken; }, Frame>(
        definition: CallDefinition<Request, Frame>,
        request: Request,
        callLocal: (shard: ClaimShard) => Promise<Frame>,
    ): Promise<Frame> {
        const shard = this.shards.get(request.token.shardId);
        if (shard !== undefined) {
            return await callLocal(shard);
        }
        const address = this.ownership.holderAddress(request.token.shardId);
        if (address === undefined || address === this.opts.address()) {
            throw shardNotOwnedError();
        }
        const link = this.opts.endpoint.connect(address);
        return await singleFrame(link.call(definition, request, { timeoutMs: LINK_CALL_TIMEOUT_MS }));
    }

    private ownedShard(token: ClaimToken): ClaimShard {
        const shard = this.shards.get(token.shardId);
        if (shard === undefined) {
            throw shardNotOwnedError();
        }
        return shard;
    }

    private addShard(partition: OwnedPartition): void {
        const shardId = partition.partitionId;
        const shard = new ClaimShard({
            ...this.opts,
            shardId,
            ownedPartition: () => {
                const owned = this.ownership.owned(shardId);
                return owned?.fencingNumber === partition.fencingNumber ? owned : undefined;
            },
            isListed: executor => this.knownEntryIds.includes(executor),
            commitIntervalMs: this.opts.shardCount * MS_PER_SECOND
                / (this.opts.writeBudgetPerSecond ?? DEFAULT_WRITE_BUDGET_PER_SECOND),
            retentionMs: this.opts.retentionMs ?? DEFAULT_RETENTION_MS,
        });
        this.shards.set(shardId, shard);
        shard.load().catch((error: unknown) => {
            this.opts.logger.warn("claims-read-failed", { shardId, code: toKnapweedError(error).code });
        });
    }

    private createToken(request: ClaimRequest): ClaimToken {
        const claimId = digestOf(JSON.stringify([request.teamId, request.service, request.idempotencyKey]));
        const hash = Number.parseInt(claimId.slice(0, SHARD_HASH_DIGITS), HEX_RADIX);
        const shardId = String(hash % this.opts.shardCount) as PartitionId;
        const randomSuffix = this.opts.random.nextInteger(2 ** 31);
        const tokenId = `${this.opts.instanceId}-${this.opts.clock.nowMs()}-${this.tokenCount++}-${randomSuffix}`;
        return { shardId, claimId, tokenId };
    }

    private async listLiveEntryIds(): Promise<InstanceId[]> {
        try {
            const records = await this.opts.instanceList.list();
            this.knownEntryIds = records.filter(record => record.kind === "entry").map(record => record.instanceId);
            return records
                .filter(record => record.kind === "entry" && record.state === "live")
                .map(record => record.instanceId);
        }
        catch {
            return this.knownEntryIds;
        }
    }
}

function shardNotOwnedError(): KnapweedError {
    return new KnapweedError("CLAIM_SHARD_MOVED", "This instance does not own the shard of the claim", {
        outcome: "not-run",
        statusCode: 503,
    });
}
