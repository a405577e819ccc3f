// A job whose record was larger than a value of the key-value service was accepted, held on disks, never written, and lost
// with the disks: the service's refusal was taken for an outage.
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { ItemId } from "@knapweedwood/core.ids/itemId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { Route } from "@knapweedwood/fleet.view/route";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import assert from "node:assert/strict";
import { test } from "node:test";
import { JobAcceptor } from "../src/jobAcceptor.js";
import { jobKeys } from "../src/jobKeys.js";
import type { JobSubmission } from "../src/jobSubmission.js";
import { JobTable } from "../src/jobTable.js";
import { StoredJobReader } from "../src/storedJobReader.js";
import { RejectingKeyValueService } from "./rejectingKeyValueService.js";

const ITEMS = 200;
const HEADERS_BYTES = 13_000;
const BODY_BYTES = 4000;
const route = { name: "r", host: "h", prefix: "/p/", kind: "batch", maxAttempts: 3 } as Route;

function createSubmission(
    id: string,
    opts: { items: number; headersBytes: number; bodyBytes: number; },
): JobSubmission {
    const items = Array.from({ length: opts.items }, (_, index) => ({
        id: `${id}-${index}` as ItemId,
        path: "/p/",
        headers: [{ name: "x-long", value: `${index}é`.padEnd(opts.headersBytes, "h") }],
        body: Buffer.alloc(opts.bodyBytes, String(index)),
        tokens: 1,
    }));
    return { jobId: id as JobId, items };
}

function setUp(limits = { maxItemHeadBytes: Infinity }) {
    const clock = new ManualClock();
    const service = new RejectingKeyValueService({ clock });
    let holds = 0;
    const acceptor = new JobAcceptor({
        service,
        clock,
        logger: silentLogger,
        holder: {
            hold: () => {
                holds += 1;
                return Promise.resolve("held");
            },
        },
        areHeldJobsWritten: () => true,
        isKnownToLeader: () => Promise.resolve(false),
        isTokenCountComplete: () => true,
        maxItemHeadBytes: () => limits.maxItemHeadBytes,
    });
    const accept = async (submission: JobSubmission) => {
        const pending = acceptor.accept(route, submission);
        pending.catch(() => undefined);
        await clock.advance(10_000);
        return pending;
    };
    return { service, accept, holds: () => holds };
}

test("a job whose headers are larger than a value of the key-value service is stored whole, and read back", async () => {
    const { service, accept, holds } = setUp();
    const submission = createSubmission("j", { items: ITEMS, headersBytes: HEADERS_BYTES, bodyBytes: BODY_BYTES });
    const acceptance = await accept(submission);
    assert.equal(acceptance.kind === "accepted" && acceptance.revision > 0, true, "it is stored, not only held");
    assert.equal(holds(), 0);

    const { entries } = await service.snapshot(jobKeys.jobsPrefix);
    const table = new JobTable();
    entries.toReversed().forEach(entry => {
        assert.equal(table.get(submission.jobId), undefined, "a job is known only once all of its items have arrived");
        table.apply([entry]);
    });
    const job = table.get(submission.jobId)!;
    assert.equal(job.isLoaded, true);
    assert.deepEqual(
        job.items.map(item => ({ ...item.record, body: job.bodyOf(item) })),
        submission.items.map((item, index) => ({ ...item, bodyOffset: index * BODY_BYTES, bodyBytes: BODY_BYTES })),
    );

    const reader = new StoredJobReader({ service });
    assert.deepEqual(await reader.results({ jobId: submission.jobId, after: 0 }), {
        total: ITEMS,
        results: [],
        next: 0,
    });
    const last = submission.items.at(-1)!;
    assert.deepEqual(await reader.itemBody({ jobId: submission.jobId, itemId: last.id }), last.body);
});

test("a job that can never be stored is rejected for good, and no disk holds it", async () => {
    const { accept, holds } = setUp();
    const tooLarge = createSubmission("j", { items: ITEMS, headersBytes: 1, bodyBytes: 120_000 });
    await assert.rejects(accept(tooLarge), { code: "ERR_KNAPWEED_JOB_TOO_LARGE", outcome: "not-run" });
    const longId = createSubmission("i".repeat(190), { items: 1, headersBytes: 1, bodyBytes: 1 });
    await assert.rejects(accept(longId), { code: "ERR_KNAPWEED_JOB_ID_INVALID", outcome: "not-run" });
    assert.equal(holds(), 0);
});

test("a job that the key-value service rejects for another reason is rejected for good, and no disk holds it", async () => {
    const { service, accept, holds } = setUp();
    service.isRejected = ({ key }) => key === jobKeys.record("j" as JobId);
    const acceptance = await accept(createSubmission("j", { items: 1, headersBytes: 1, bodyBytes: 1 }));
    assert.equal(acceptance.kind === "refused" && acceptance.reason, "not-storable");
    assert.equal(holds(), 0);
});

test("a job is over the limit of its route if the list of the waiting ones would be too large to be stored", async () => {
    const { service, accept } = setUp();
    const limited = createSubmission("j".repeat(130), { items: 1, headersBytes: 1, bodyBytes: 1 });
    const jobs = Array.from({ length: 9999 }, (_, index) => ({ jobId: `${index}`.padStart(76, "i"), tokens: 1 }));
    const value = Buffer.from(JSON.stringify({ jobs }));
    await service.transact([], [{ kind: "put", key: jobKeys.waitingTokens("r"), value }]);
    Object.assign(route, { maxWaitingTokens: 1_000_000 });
    const acceptance = await accept(limited);
    delete route.maxWaitingTokens;
    assert.equal(acceptance.kind === "refused" && acceptance.reason, "over-limit");
});

// Seven jobs whose ids had a slash got 202 and were answered 404 later, for good.
test("jobs whose ids contain slashes are kept apart from each other and from the entries of other jobs", async () => {
    const { service, accept } = setUp();
    const ids = ["x1", "x1/b", "x1/record", "x1/part/0", "x1/items/0", "x1/cancelled", "x1%2Fb", "a//", "%"];
    for (const id of ids) {
        assert.equal(
            (await accept(createSubmission(id, { items: 2, headersBytes: 1, bodyBytes: 1 }))).kind,
            "accepted",
        );
    }
    const { entries } = await service.snapshot(jobKeys.jobsPrefix);
    const table = new JobTable();
    table.apply(entries);
    assert.deepEqual(table.all().map(job => job.record.jobId).sort(), ids.toSorted());
    assert.equal(table.all().every(job => job.isLoaded && job.items.length === 2 && !job.isCancelled), true);
    const ofFirst = await service.snapshot(jobKeys.jobPrefix("x1" as JobId));
    assert.equal(ofFirst.entries.length, 2, "the record and the part of one job");
});

test("the parts of a job are as small as the values that the key-value service takes", async () => {
    const { service, accept } = setUp();
    const maxValueSizeBytes = 50_000;
    Object.assign(service, { maxValueSizeBytes });
    service.isRejected = operation => operation.kind === "put" && operation.value.length > maxValueSizeBytes;
    const submission = createSubmission("j", { items: 20, headersBytes: HEADERS_BYTES, bodyBytes: BODY_BYTES });
    assert.equal((await accept(submission)).kind, "accepted");
    const { entries } = await service.snapshot(jobKeys.jobsPrefix);
    const table = new JobTable();
    table.apply(entries);
    const job = table.get(submission.jobId)!;
    assert.equal(job.isLoaded, true);
    assert.deepEqual(job.items.map(item => job.bodyOf(item)), submission.items.map(({ body }) => body));
});

test("an accepted job that comes again after the operators have lowered a limit is accepted again", async () => {
    const limits = { maxItemHeadBytes: 16_000 };
    const { accept } = setUp(limits);
    const submission = createSubmission("j", { items: 1, headersBytes: HEADERS_BYTES, bodyBytes: 1 });
    assert.equal((await accept(submission)).kind, "accepted");
    limits.maxItemHeadBytes = 8000;
    assert.equal((await accept(submission)).kind, "accepted");
    const other = createSubmission("other", { items: 1, headersBytes: HEADERS_BYTES, bodyBytes: 1 });
    await assert.rejects(accept(other), { code: "ERR_KNAPWEED_JOB_ITEM_INVALID" });
});
