import type { ClaimResult } from "@knapweedwood/batch.claims/claimResult";
import type { IdempotencyKey } from "@knapweedwood/core.ids/idempotencyKey";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import assert from "node:assert/strict";
import { test } from "node:test";
import { defaultSimulationOptions } from "../src/defaultSimulationOptions.js";
import { Fleet } from "../src/fleet.js";

async function startFleet(seed: number): Promise<Fleet> {
    const fleet = new Fleet({ seed, options: defaultSimulationOptions });
    await fleet.advance(5000);
    return fleet;
}

const requestOf = (key: string, requestDigest = "digest") => ({
    teamId: "team-a" as TeamId,
    service: "ledger" as ServiceName,
    idempotencyKey: key as IdempotencyKey,
    requestDigest,
    timeoutMs: 60_000,
});

function claim(fleet: Fleet, entry: number, key: string, requestDigest?: string): Promise<ClaimResult> {
    return fleet.runUntilSettled(fleet.entries[entry].claims.claim(requestOf(key, requestDigest)));
}

const recordedResponse = { statusCode: 201, headers: { "content-type": "text/plain" }, body: Buffer.from("receipt 1") };

test("many claims are batched into few writes, and each key is granted once", async () => {
    const fleet = await startFleet(1);
    const { counters } = fleet.platform.keyValue;
    const writesBefore = counters.writes;
    const keys = Array.from({ length: 300 }, (_, index) => `key-${index % 150}`);
    const claims = keys.map((key, index) => fleet.entries[index % 3].claims.claim(requestOf(key)));
    const results = await fleet.runUntilSettled(Promise.all(claims));
    assert.equal(results.filter(result => result.kind === "granted").length, 150);
    assert.equal(results.filter(result => result.kind === "in-progress").length, 150);
    assert.ok(counters.writes - writesBefore <= 20, String(counters.writes - writesBefore));
});

test("a resend at any entry gets the recorded response, also after the shard's owner crashed", async () => {
    const fleet = await startFleet(2);
    const first = await claim(fleet, 0, "a");
    assert.equal(first.kind, "granted");
    assert.ok(first.kind === "granted");
    await fleet.runUntilSettled(fleet.entries[0].claims.record(first.token, recordedResponse));
    for (const crashedEntry of [1, 2]) {
        fleet.crashEntry(crashedEntry);
        await fleet.advance(8000);
        const resent = await claim(fleet, crashedEntry, "a");
        assert.ok(resent.kind === "recorded", resent.kind);
        assert.equal(Buffer.from(resent.answer.body).toString(), "receipt 1");
        assert.equal(resent.answer.statusCode, 201);
    }
    assert.equal((await claim(fleet, 1, "a", "another digest")).kind, "conflict");
});

test("a claim whose executor crashed becomes unknown and is never granted again", async () => {
    const fleet = await startFleet(3);
    assert.equal((await claim(fleet, 0, "b")).kind, "granted");
    assert.equal((await claim(fleet, 1, "b")).kind, "in-progress");
    fleet.crashEntry(0);
    await fleet.advance(30_000);
    assert.equal((await claim(fleet, 1, "b")).kind, "unknown");
    await fleet.advance(120_000);
    assert.equal((await claim(fleet, 2, "b")).kind, "unknown");
});

test("only a released claim is granted again", async () => {
    const fleet = await startFleet(4);
    const first = await claim(fleet, 0, "c");
    assert.ok(first.kind === "granted");
    await fleet.runUntilSettled(fleet.entries[0].claims.release(first.token));
    const second = await claim(fleet, 1, "c");
    assert.ok(second.kind === "granted");
    await fleet.runUntilSettled(fleet.entries[0].claims.release(first.token));
    assert.equal((await claim(fleet, 2, "c")).kind, "in-progress", "an old token releases nothing");
});

test("a claim is rejected as not run while the key-value service is unavailable", async () => {
    const fleet = await startFleet(5);
    fleet.platform.keyValue.faults.outage = true;
    await assert.rejects(claim(fleet, 0, "d"), { code: "ERR_KNAPWEED_CLAIM_UNAVAILABLE", outcome: "not-run" });
    fleet.platform.keyValue.faults.outage = false;
    await fleet.advance(30_000);
    assert.equal((await claim(fleet, 1, "d")).kind, "granted");
});

/** Makes a write of claims fail during an outage, after which the owner reads its log again. */
async function failClaimWrites(fleet: Fleet): Promise<void> {
    const { faults } = fleet.platform.keyValue;
    const claims = ["f0", "f1", "f2", "f3"].map(key => fleet.entries[0].claims.claim(requestOf(key)));
    faults.outage = true;
    await fleet.advance(1000);
    faults.outage = false;
    await fleet.runUntilSettled(Promise.allSettled(claims));
    await fleet.advance(20_000);
}

test("a long log is compacted, and the next owner still reads its claims", async () => {
    const fleet = await startFleet(6);
    for (let index = 0; index < 90; index++) {
        if (index === 30) {
            await failClaimWrites(fleet);
        }
        const granted = await claim(fleet, index % 3, `e${index}`);
        assert.ok(granted.kind === "granted");
        await fleet.runUntilSettled(fleet.entries[index % 3].claims.record(granted.token, recordedResponse));
    }
    const pages = await fleet.platform.keyValue.list("/claims/log/");
    assert.ok(pages.length <= 2 * 34, String(pages.length));
    fleet.crashEntry(0);
    fleet.crashEntry(1);
    await fleet.advance(10_000);
    for (const index of [0, 45, 89]) {
        assert.equal((await claim(fleet, 2, `e${index}`)).kind, "recorded");
    }
});
