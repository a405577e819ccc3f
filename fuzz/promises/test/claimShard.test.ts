import { ClaimShard } from "@knapweedwood/batch.claims/claimShard";
import type { ClaimToken } from "@knapweedwood/batch.claims/claimToken";
import type { OwnedPartition } from "@knapweedwood/batch.ownership/ownedPartition";
import { partitionKeys } from "@knapweedwood/batch.ownership/partitionKeys";
import type { SegmentStore } from "@knapweedwood/batch.segments/segmentStore";
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { FencingNumber } from "@knapweedwood/core.ids/fencingNumber";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { PartitionId } from "@knapweedwood/core.ids/partitionId";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { test } from "node:test";

const shardId = "0" as PartitionId;
const token = { shardId, claimId: "c", tokenId: "t" } as ClaimToken;
const response = { statusCode: 201, headers: {}, body: Buffer.from("receipt") };

/** Returns the owner of a shard that has granted a claim. */
async function setUp() {
    const clock = new ManualClock();
    const keyValue = new MemoryKeyValueService({ clock });
    const ownerKey = partitionKeys.owner("claims", shardId);
    const takeOver = async () =>
        (await keyValue.transact([], [{ kind: "put", key: ownerKey, value: Buffer.from("owner") }])).revision;
    const createOwner = (modRevision: number) => {
        const owned: OwnedPartition = { partitionId: shardId, fencingNumber: 1 as FencingNumber, modRevision };
        return new ClaimShard({
            shardId,
            keyValue,
            clock,
            segmentStore: {} as SegmentStore,
            random: new SeededRandom(1),
            ownedPartition: () => owned,
            isListed: () => true,
            commitIntervalMs: 0,
            retentionMs: 1_000_000,
        });
    };
    const owner = createOwner(await takeOver());
    const settle = async <T>(pending: Promise<T>): Promise<T> => {
        pending.catch(() => undefined);
        await clock.advance(100);
        return pending;
    };
    const executor = "e" as InstanceId;
    const claim = (shard: ClaimShard) =>
        settle(shard.claim({ token, requestDigest: "d", timeoutMs: 10_000, executor }));
    assert.equal((await claim(owner)).kind, "granted");
    return { owner, settle, takeOver, createOwner };
}

// The write of an owner that had lost its shard was refused, and the caller took the response for recorded.
test("a response goes to the new owner when the owner has lost the shard before its write", async () => {
    const { owner, settle, takeOver, createOwner } = await setUp();
    const next = createOwner(await takeOver());
    await assert.rejects(settle(owner.record(token, response)), { code: "ERR_KNAPWEED_CLAIM_SHARD_MOVED" });
    assert.equal(await settle(next.record(token, response)), true);
});

test("a release goes to the new owner when the owner has lost the shard before its write", async () => {
    const { owner, settle, takeOver, createOwner } = await setUp();
    const next = createOwner(await takeOver());
    await assert.rejects(settle(owner.release(token)), { code: "ERR_KNAPWEED_CLAIM_SHARD_MOVED" });
    assert.equal(await settle(next.release(token)), true);
});

test("only the token that holds the claim records a response", async () => {
    const { owner, settle } = await setUp();
    assert.equal(await settle(owner.record({ ...token, tokenId: "other" }, response)), false);
    assert.equal(await settle(owner.record(token, response)), true);
});
