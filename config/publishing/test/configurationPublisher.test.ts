import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { Revision } from "@knapweedwood/core.ids/revision";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { randomUUID } from "node:crypto";
import { test } from "node:test";
import { ConfigurationPublisher } from "../src/configurationPublisher.js";
import { PublishConflict } from "../src/publishConflict.js";
import type { RecordKey } from "../src/recordKey.js";
import { sampleRecords } from "./sampleRecords.js";

const clock = new SystemClock();
const { team, service } = sampleRecords;

function createPublisher(keyValue: MemoryKeyValueService): ConfigurationPublisher {
    return new ConfigurationPublisher({ keyValue, clock, createChangeId: randomUUID });
}

function setUp(): { keyValue: MemoryKeyValueService; publisher: ConfigurationPublisher; } {
    const keyValue = new MemoryKeyValueService({ clock });
    return { keyValue, publisher: createPublisher(keyValue) };
}

test("a publish returns its difference and can be read by another process", async () => {
    const { keyValue, publisher } = setUp();
    const result = await publisher.publish({ actor: "ann", changes: [team("cellar"), service("notes", "cellar")] });
    assert.equal(result.revision, 1);
    assert.deepEqual(result.difference.map(changed => [changed.recordKey, changed.kind]), [
        ["service/notes", "added"],
        ["team/cellar", "added"],
    ]);
    const view = await createPublisher(keyValue).current();
    assert.equal(view?.serviceOfModel("notes-model" as never)?.name, "notes");
    assert.equal(view?.digest, result.digest);
});

test("a dry run and a publish without a difference write nothing", async () => {
    const { keyValue, publisher } = setUp();
    await publisher.publish({ actor: "ann", changes: [team("cellar")] });
    const writes = keyValue.counters.writes;
    const dry = await publisher.publish({ actor: "ann", changes: [team("desk")], dryRun: true });
    const same = await publisher.publish({ actor: "ann", changes: [team("cellar")] });
    assert.deepEqual([dry.published, dry.difference.length, same.published], [false, 1, false]);
    assert.equal(keyValue.counters.writes, writes);
});

test("concurrent publishes of different records all succeed, each with its own revision", async () => {
    const { keyValue } = setUp();
    const results = await Promise.all(
        Array.from(
            { length: 8 },
            (_, index) =>
                createPublisher(keyValue).publish({ actor: `operator-${index}`, changes: [team(`team-${index}`)] }),
        ),
    );
    assert.deepEqual(results.map(result => result.revision as number).sort((a, b) => a - b), [1, 2, 3, 4, 5, 6, 7, 8]);
    assert.equal((await createPublisher(keyValue).current())?.teams().length, 8);
});

test("a change of the same record since the base revision is a conflict that lists the record", async () => {
    const { publisher } = setUp();
    const first = await publisher.publish({ actor: "ann", changes: [team("cellar", 1), team("desk", 1)] });
    await publisher.publish({ actor: "bob", changes: [team("cellar", 2)] });
    const stale = { actor: "ann", baseRevision: first.revision };
    await assert.rejects(publisher.publish({ ...stale, changes: [team("cellar", 3)] }), thrown => {
        assert.ok(thrown instanceof PublishConflict);
        assert.equal(thrown.code, "ERR_KNAPWEED_PUBLISH_CONFLICT");
        assert.deepEqual(thrown.conflicts.map(conflict => conflict.recordKey), ["team/cellar"]);
        return true;
    });
    const disjoint = await publisher.publish({ ...stale, changes: [team("desk", 3)] });
    assert.equal(disjoint.revision, 3);
});

test("after a lost response, the changes are published once and reported as published", async () => {
    const { keyValue, publisher } = setUp();
    await publisher.publish({ actor: "ann", changes: [team("cellar")] });
    keyValue.faults.loseNextResponses(1);
    const result = await publisher.publish({ actor: "ann", changes: [team("desk")] });
    assert.deepEqual([result.revision, result.published], [2, true]);
    assert.equal((await publisher.history()).length, 2);
});

test("a publish whose response was lost is recognized as published, even if another publish follows", async () => {
    const { keyValue, publisher } = setUp();
    await publisher.publish({ actor: "ann", changes: [team("cellar")] });
    keyValue.faults.loseNextResponses(1);
    const slow = publisher.publish({ actor: "ann", changes: [team("desk")] });
    const other = await createPublisher(keyValue).publish({ actor: "bob", changes: [team("portal")] });
    assert.deepEqual([(await slow).revision as number, other.revision as number].sort(), [2, 3]);
    assert.equal((await publisher.history()).length, 3);
});

test("a publish during an outage is rejected with outcome not-run", async () => {
    const { keyValue, publisher } = setUp();
    keyValue.faults.outage = true;
    await assert.rejects(
        publisher.publish({ actor: "ann", changes: [team("cellar")] }),
        thrown => thrown instanceof KnapweedError && thrown.outcome === "not-run",
    );
});

test("a rollback publishes the earlier records as a new, higher revision", async () => {
    const { publisher } = setUp();
    const first = await publisher.publish({ actor: "ann", changes: [team("cellar", 1)] });
    await publisher.publish({ actor: "bob", changes: [team("cellar", 9), team("desk")] });
    const back = await publisher.rollback({ revision: first.revision, actor: "ann" });
    assert.equal(back.revision, 3);
    const view = await publisher.current();
    assert.deepEqual(view?.teams().map(found => [found.teamId, found.weight]), [["cellar", 1]]);
    assert.deepEqual(await publisher.difference(first.revision, 3 as Revision), []);
    const [newest] = await publisher.history({ limit: 1 });
    assert.deepEqual([newest?.actor, newest?.message], ["ann", "rollback to 1"]);
});

test("a configuration that breaks a rule is rejected as a whole", async () => {
    const { publisher } = setUp();
    await publisher.publish({ actor: "ann", changes: [team("cellar"), service("notes", "cellar")] });
    const removal = { kind: "remove" as const, recordKey: "team/cellar" as RecordKey };
    await assert.rejects(
        publisher.publish({ actor: "ann", changes: [removal] }),
        thrown => thrown instanceof KnapweedError && thrown.code === "ERR_KNAPWEED_CONFIGURATION_INVALID",
    );
    assert.ok((await publisher.current())?.team("cellar" as TeamId));
});

test("one change among 5,000 teams writes under 8 KB", async () => {
    const { keyValue, publisher } = setUp();
    await publisher.publish({ actor: "ann", changes: Array.from({ length: 5_000 }, (_, n) => team(`team-${n}`)) });
    const before = new Set((await keyValue.list("configuration/")).map(entry => entry.modRevision));
    await publisher.publish({ actor: "ann", changes: [team("team-77", 5)] });
    const written = (await keyValue.list("configuration/")).filter(entry => !before.has(entry.modRevision));
    const sizeBytes = written.reduce((sum, entry) => sum + entry.value.length, 0);
    assert.ok(written.length >= 4 && sizeBytes < 8_192, `wrote ${sizeBytes} bytes in ${written.length} values`);
});
