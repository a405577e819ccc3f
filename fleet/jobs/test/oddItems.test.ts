// Accepted items with a header Host, or another that the HTTP client refuses, never ran. Each try counted as a failure of the
// upstream, so that the sound items of all teams waited for up to 48 s beside idle upstreams.
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import type { ItemId } from "@knapweedwood/core.ids/itemId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import { UpstreamHealth } from "@knapweedwood/fleet.load/upstreamHealth";
import { UpstreamConnections } from "@knapweedwood/fleet.upstreams/upstreamConnections";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import fc from "fast-check";
import assert from "node:assert/strict";
import { createServer, type IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { applyRunOutcome } from "../src/applyRunOutcome.js";
import { assertSubmissionValid } from "../src/assertSubmissionValid.js";
import { invalidFieldOf } from "../src/invalidFieldOf.js";
import { ItemRun } from "../src/itemRun.js";
import type { ItemRunOutcome } from "../src/itemRunOutcome.js";
import { OpenJob } from "../src/openJob.js";
import { recordUpstreamHealth } from "../src/recordUpstreamHealth.js";
import type { SubmittedItem } from "../src/submittedItem.js";
import { callHeaders } from "./callHeaders.js";
import { createJobRecord } from "./createJobRecord.js";

const SEED = 20_261_206;
const RUNS = 400;
const MAX_HEAD_BYTES = 16_384;
const HOST = "route.example";
const BODY = Buffer.from("the item's body");
const UPSTREAM = "u" as UpstreamId;
const headers = {
    ...callHeaders,
    requestId: "x-request-id",
    expectedUpstream: "x-expected",
    expectedVersion: "x-version",
    lastEventId: "last-event-id",
};

function createItem(fields: Partial<SubmittedItem>): SubmittedItem {
    return { id: "i" as ItemId, path: "/p/", headers: [], body: BODY, tokens: 1, ...fields };
}

function withHeader(name: string, value: string): Partial<SubmittedItem> {
    return { headers: [{ name, value }] };
}

/** Serves items, and tells what it received of the last one. */
async function startUpstream(context: TestContext, statusCode = 200) {
    let received: { request: IncomingMessage; body: Buffer; } | undefined;
    const server = createServer({ maxHeaderSize: 2 * MAX_HEAD_BYTES }, (request, response) => {
        const chunks: Buffer[] = [];
        request.on("data", (chunk: Buffer) => chunks.push(chunk));
        request.on("end", () => {
            received = { request, body: Buffer.concat(chunks) };
            response.writeHead(statusCode, { p: "proof", "x-request-id": request.headers["x-request-id"] });
            response.end("id: 1\ndata: a\n\n");
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = { host: "127.0.0.1", port: (server.address() as AddressInfo).port };
    const connections = new UpstreamConnections();
    const run = ({ id, path, headers: own }: SubmittedItem): Promise<ItemRunOutcome> => {
        const record = createJobRecord({ id: "j", itemCount: 1 });
        Object.assign(record.items[0]!, { id, path, headers: own });
        const item = new OpenJob(record).items[0]!;
        return new Promise(resolve => {
            const itemRun = new ItemRun({
                clock: new SystemClock(),
                headers,
                item,
                upstream: { id: UPSTREAM, startedAtMs: 1, address } as Upstream,
                onLeaving: () => undefined,
                onEnded: resolve,
            });
            itemRun.start(connections, { host: HOST, body: BODY });
        });
    };
    context.after(() => {
        connections.close();
        server.close();
        server.closeAllConnections();
    });
    return { run, received: () => received! };
}

function valuesOf({ rawHeaders }: IncomingMessage, name: string): string[] {
    return rawHeaders.filter((_, index) => index % 2 === 1 && rawHeaders[index - 1]!.toLowerCase() === name);
}

test("an item that no upstream can get is rejected, with its index and the field", () => {
    const rejected: [Partial<SubmittedItem>, string][] = [
        ...["", " ", "a\nb", "ü", "a ", "日本"].map((
            id,
        ): [Partial<SubmittedItem>, string] => [{ id: id as ItemId }, "id"]),
        ...["", "*", "p/", "/a b", "/ü", "/a\r\nb", "/日", "http://h/p", "/\u0000"]
            .map((path): [Partial<SubmittedItem>, string] => [{ path }, "path"]),
        ...["", "a b", "a:", "é", "a\n", "(a)"]
            .map((
                name,
            ): [Partial<SubmittedItem>, string] => [withHeader(name, "v"), `headers[${JSON.stringify(name)}]`]),
        ...["a\r\nb", "\u0000", "日本", "a\u007f"]
            .map((value): [Partial<SubmittedItem>, string] => [withHeader("x-a", value), 'headers["x-a"]']),
        [withHeader("x-a", "a".repeat(MAX_HEAD_BYTES)), "headers"],
        [{ path: "/".padEnd(MAX_HEAD_BYTES, "p") }, "headers"],
    ];
    rejected.forEach(([fields, field]) => {
        const items = [createItem({ id: "first" as ItemId }), createItem(fields)];
        assert.throws(() => assertSubmissionValid({ jobId: "j" as JobId, items }, { maxHeadBytes: MAX_HEAD_BYTES }), {
            code: "ERR_KNAPWEED_JOB_ITEM_INVALID",
            parameter: `items[1].${field}`,
            outcome: "not-run",
        });
    });
    ["", "jü", "日", "a\tb", ".", "..", "j".repeat(190)].forEach(id =>
        assert.throws(
            () => assertSubmissionValid({ jobId: id as JobId, items: [] }, { maxHeadBytes: MAX_HEAD_BYTES }),
            {
                code: "ERR_KNAPWEED_JOB_ID_INVALID",
            },
        )
    );
});

test("an item that names headers of the connection, or those that the system sets, runs with the system's", async context => {
    const upstream = await startUpstream(context);
    const own = [
        ["Host", HOST],
        ["hOST", "other"],
        ["Content-Length", "3"],
        ["content-length", "4"],
        ["Transfer-Encoding", "chunked"],
        ["Expect", "100-continue"],
        ["Upgrade", "h2c"],
        ["Keep-Alive", "timeout=1"],
        ["Connection", "x-listed, close"],
        ["TE", "trailers"],
        ["Accept-Encoding", "gzip"],
        ["X-Request-Id", "other"],
        ["Last-Event-Id", "7"],
        ["X-Expected", "another upstream"],
    ].map(([name, value]) => ({ name: name!, value: value! }));
    for (const named of [...own.map(header => [header]), own]) {
        const listed = named.some(header => header.name === "Connection") ? [{ name: "X-Listed", value: "v" }] : [];
        const item = createItem({ headers: [...named, ...listed, { name: "X-Kept", value: "\tcafé" }] });
        assert.equal(invalidFieldOf(item, { maxHeadBytes: MAX_HEAD_BYTES }), undefined);
        assert.equal((await upstream.run(item)).kind, "completed", named[0]!.name);
        const { request, body } = upstream.received();
        const seen = [
            "host",
            "content-length",
            "x-request-id",
            "last-event-id",
            "x-expected",
            "x-listed",
            "accept-encoding",
            "x-kept",
        ]
            .map(name => valuesOf(request, name));
        assert.deepEqual(seen, [[HOST], [String(BODY.length)], ["i"], [], ["u"], [], [], ["café"]], named[0]!.name);
        assert.deepEqual(body, BODY);
    }
});

test("whatever an item has, it is either rejected when it is submitted, or reaches an upstream unchanged", async context => {
    const upstream = await startUpstream(context);
    const oddText = fc.oneof(
        fc.string({ unit: "binary", maxLength: 12 }),
        fc.string({ unit: "grapheme-ascii", maxLength: 12 }),
        fc.constantFrom("", " ", "*", "\t", "a/b", "%2F", "#", "?", "\u00a0", "\ud800", "a\u0085"),
    );
    const name = fc.oneof(
        fc.constantFrom("Host", "Expect", "TE", "Trailer", "Date", "Cookie", "x-request-id", "Connection", "Upgrade"),
        oddText,
        fc.stringMatching(/^[!#$%&'*+\-.^_`|~0-9A-Za-z]{1,10}$/),
    );
    const items = fc.record({
        id: fc.oneof(oddText, fc.stringMatching(/^[0-9a-f]{1,16}$/)),
        path: fc.oneof(fc.constant("/p/"), oddText, oddText.map(text => `/${text}`)),
        headers: fc.array(fc.record({ name, value: oddText }), { maxLength: 5 }),
    });
    let valid = 0;
    const property = fc.asyncProperty(items, async fields => {
        const item = createItem(fields as Partial<SubmittedItem>);
        if (invalidFieldOf(item, { maxHeadBytes: MAX_HEAD_BYTES }) !== undefined) {
            return;
        }
        valid += 1;
        assert.equal((await upstream.run(item)).kind, "completed");
        const { request, body } = upstream.received();
        assert.deepEqual([request.method, request.url, body], ["POST", item.path, BODY]);
        assert.deepEqual([valuesOf(request, "host"), valuesOf(request, "x-request-id")], [[HOST], [item.id]]);
    });
    await fc.assert(property, { seed: SEED, numRuns: RUNS });
    assert.equal(valid > RUNS / 20, true, `${valid} of ${RUNS} items were valid`);
});

// For jobs that another version of this program has accepted, and for whatever the HTTP client refuses in future.
test("an item that can't be sent is given up after its attempts, and says nothing of the upstream", async context => {
    const upstream = await startUpstream(context);
    const health = new UpstreamHealth();
    const clock = new ManualClock();
    const item = new OpenJob(createJobRecord({ id: "j", itemCount: 1 })).items[0]!;
    const decisions: string[] = [];
    for (let attempt = 0; attempt < 3; attempt += 1) {
        const outcome = await upstream.run(createItem({ path: "no slash" }));
        assert.equal(outcome.kind, "unsendable");
        recordUpstreamHealth(health, UPSTREAM, outcome, clock.nowMs());
        decisions.push(applyRunOutcome(item, outcome, { nowMs: clock.nowMs(), maxAttempts: 3 }));
    }
    assert.deepEqual(decisions, ["retry", "retry", "given-up"]);
    assert.equal(health.isUsable(UPSTREAM, clock.nowMs(), 1), true);
    assert.equal((await upstream.run(createItem({}))).kind, "completed", "the connection is kept");
});

// An upstream answers 421 both when it isn't the one that is named and when its weights have another version.
test("an item that demands a version which no upstream has doesn't take upstreams for replaced ones", async context => {
    const upstream = await startUpstream(context, 421);
    assert.deepEqual(await upstream.run(createItem(withHeader("X-Version", "9"))), {
        kind: "not-run",
        isMisdirected: false,
    });
    assert.deepEqual(await upstream.run(createItem({})), { kind: "not-run", isMisdirected: true });
});
