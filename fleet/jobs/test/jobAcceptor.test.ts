import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { ItemId } from "@knapweedwood/core.ids/itemId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { Route } from "@knapweedwood/fleet.view/route";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { mock, test } from "node:test";
import type { Acceptance } from "../src/acceptance.js";
import type { HoldOutcome } from "../src/holdOutcome.js";
import { JobAcceptor } from "../src/jobAcceptor.js";
import { jobKeys } from "../src/jobKeys.js";
import type { JobSubmission } from "../src/jobSubmission.js";

const route = { name: "r", host: "h", prefix: "/p/", kind: "batch", maxAttempts: 3, maxWaitingTokens: 100 } as Route;

function submissionOf(id: string, tokens = 40): JobSubmission {
    return {
        jobId: id as JobId,
        items: [{ id: `${id}-0` as ItemId, path: "/p/", headers: [], body: Buffer.from("b"), tokens }],
    };
}

function setUp(held: HoldOutcome = "not-held", areHeldJobsWritten = true) {
    const clock = new ManualClock();
    const service = new MemoryKeyValueService({ clock });
    const acceptor = () =>
        new JobAcceptor({
            service,
            clock,
            logger: silentLogger,
            holder: { hold: () => Promise.resolve(held) },
            areHeldJobsWritten: () => areHeldJobsWritten,
            isKnownToLeader: () => Promise.resolve(false),
            isTokenCountComplete: () => areHeldJobsWritten,
        });
    const settle = async (pending: Promise<Acceptance>): Promise<Acceptance> => {
        await clock.advance(10_000);
        return pending;
    };
    return { clock, service, acceptor, settle };
}

test("a job that is resent, to any instance, is stored once and accepted each time", async () => {
    const { service, acceptor, settle } = setUp();
    const first = acceptor();
    assert.equal((await settle(first.accept(route, submissionOf("j")))).kind, "accepted");
    assert.equal((await settle(first.accept(route, submissionOf("j")))).kind, "accepted");
    assert.equal((await settle(acceptor().accept(route, submissionOf("j")))).kind, "accepted");
    assert.equal((await service.list(jobKeys.jobsPrefix)).filter(entry => entry.key.endsWith("/record")).length, 1);
});

test("waiting tokens stay under the limit across all instances", async () => {
    const { acceptor, settle } = setUp();
    const [first, second] = [acceptor(), acceptor()];
    assert.equal((await settle(first.accept(route, submissionOf("a")))).kind, "accepted");
    assert.equal((await settle(second.accept(route, submissionOf("b")))).kind, "accepted");
    const rejected = await settle(first.accept(route, submissionOf("c")));
    assert.deepEqual([rejected.kind, rejected.kind === "refused" && rejected.reason], ["refused", "over-limit"]);
});

test("after a lost response, the outcome is determined and the job is accepted once", async () => {
    const { service, acceptor, settle } = setUp();
    service.faults.loseNextResponses(1);
    assert.equal((await settle(acceptor().accept(route, submissionOf("j")))).kind, "accepted");
});

test("during an outage, a job is accepted if enough disks hold it", async () => {
    const { service, acceptor, settle } = setUp("held");
    service.faults.outage = true;
    assert.equal((await settle(acceptor().accept(route, submissionOf("j")))).kind, "accepted");
});

test("a job that no disk holds is rejected; the outcome is unknown if a disk may hold it", async () => {
    const rejecting = setUp("not-held");
    rejecting.service.faults.outage = true;
    assert.equal((await rejecting.settle(rejecting.acceptor().accept(route, submissionOf("j")))).kind, "refused");
    const uncertain = setUp("unknown");
    uncertain.service.faults.outage = true;
    assert.equal((await uncertain.settle(uncertain.acceptor().accept(route, submissionOf("j")))).kind, "unknown");
});

test("during an outage, a job over the limit is rejected for that reason", async () => {
    const { service, acceptor, settle } = setUp("over-limit");
    service.faults.outage = true;
    const rejected = await settle(acceptor().accept(route, submissionOf("j")));
    assert.deepEqual([rejected.kind, rejected.kind === "refused" && rejected.reason], ["refused", "over-limit"]);
});

test("cancelling is acknowledged each time, except for jobs that certainly don't exist", async () => {
    const { acceptor, settle } = setUp();
    const one = acceptor();
    await settle(one.accept(route, submissionOf("j")));
    const revision = await one.cancel("j" as JobId);
    assert.ok(revision !== undefined && revision > 0);
    assert.equal(await one.cancel("j" as JobId), revision);
    assert.equal(await one.cancel("none" as JobId), undefined);
});

test("while held jobs are still being written, the leader decides on the limit", async () => {
    const full = setUp("over-limit", false);
    const rejected = await full.settle(full.acceptor().accept(route, submissionOf("j")));
    assert.deepEqual([rejected.kind, rejected.kind === "refused" && rejected.reason], ["refused", "over-limit"]);
    assert.deepEqual(await full.service.list(jobKeys.jobsPrefix), [], "nothing was written over the limit");
    const withCapacity = setUp("held", false);
    assert.equal(
        (await withCapacity.settle(withCapacity.acceptor().accept(route, submissionOf("j")))).kind,
        "accepted",
    );
    const without = setUp("not-held", false);
    const unapproved = await without.settle(without.acceptor().accept(route, submissionOf("j")));
    assert.deepEqual([unapproved.kind, unapproved.kind === "refused" && unapproved.reason], ["refused", "store-away"]);
    assert.deepEqual(await without.service.list(jobKeys.jobsPrefix), [], "the stored count lacks the held jobs");
});

test("a job that was accepted is accepted again, even if the route is full", async () => {
    const { service, acceptor, settle } = setUp("over-limit", false);
    await service.transact([], [{ kind: "put", key: jobKeys.record("j" as JobId), value: Buffer.from("{}") }]);
    assert.equal((await settle(acceptor().accept(route, submissionOf("j")))).kind, "accepted");
});

test("a job that one disk may hold is not reported as rejected, even if its write is rejected", async () => {
    const { acceptor, settle } = setUp("unknown", false);
    const tooLarge = submissionOf("j", 1000);
    assert.equal((await settle(acceptor().accept(route, tooLarge))).kind, "unknown");
});

// The cancellation was written on the basis of an earlier read of the record. Its key stayed behind when the job was removed
// in between, and a job sent again with the same id was cancelled from the start.
test("a job that is removed during its cancellation leaves no cancellation behind", async () => {
    const { clock, service, acceptor, settle } = setUp();
    await settle(acceptor().accept(route, submissionOf("j")));
    const record = jobKeys.record("j" as JobId);
    const get = service.get.bind(service);
    mock.method(service, "get", async (key: string) => {
        const entry = await get(key);
        await service.transact([], [{ kind: "delete", key: record }]);
        return entry;
    });
    const cancelling = acceptor().cancel("j" as JobId);
    await clock.advance(10_000);
    assert.equal(await cancelling, undefined);
    assert.deepEqual(await service.list(jobKeys.cancellation("j" as JobId)), []);
});

// Only one of two items with the same id can be listed, so the job never ended and its tokens counted as waiting forever.
test("a job with two items of the same id is rejected and not stored", async () => {
    const { service, acceptor } = setUp();
    const { jobId, items } = submissionOf("j");
    await assert.rejects(acceptor().accept(route, { jobId, items: [...items, ...items] }), {
        code: "ERR_KNAPWEED_JOB_ITEMS_NOT_UNIQUE",
    });
    assert.deepEqual(await service.list(jobKeys.jobsPrefix), []);
});

// A write that was delayed beyond the retention time stored the job again after its removal.
test("a job that was removed is accepted again as any other job sent again, and not stored", async () => {
    const { service, acceptor, settle } = setUp();
    await service.transact([], [{ kind: "put", key: jobKeys.tombstone("j" as JobId), value: Buffer.from("{}") }]);
    assert.equal((await settle(acceptor().accept(route, submissionOf("j")))).kind, "accepted");
    assert.deepEqual(await service.list(jobKeys.jobsPrefix), []);
});
