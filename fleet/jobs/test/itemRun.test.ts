// An item was resumed at an upstream of another software version, so that its output held events of both.
import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { ExchangeHandler } from "@knapweedwood/fleet.upstreams/exchangeHandler";
import type { ExchangeRequest } from "@knapweedwood/fleet.upstreams/exchangeRequest";
import type { ResponseEnding } from "@knapweedwood/fleet.upstreams/responseEnding";
import type { UpstreamConnections } from "@knapweedwood/fleet.upstreams/upstreamConnections";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ItemProgress } from "../src/itemProgress.js";
import { ItemRun } from "../src/itemRun.js";
import { OpenJob } from "../src/openJob.js";
import { pickProgress } from "../src/pickProgress.js";
import { callHeaders } from "./callHeaders.js";
import { createJobRecord } from "./createJobRecord.js";

const proof = { statusCode: 200, headers: [], header: (name: string) => name === "p" ? "proof" : undefined };

/** Returns a function that runs an item at an upstream, which breaks off, and returns the event to resume after. */
function playItem() {
    const item = new OpenJob(createJobRecord({ id: "job", itemCount: 1, dueAtMs: 1000 })).items[0]!;
    const runAt = (upstream: { service: string; softwareVersion: string; }, events: string) => {
        let sent: ExchangeRequest | undefined;
        const connections = {
            send: (_upstream: Upstream, request: ExchangeRequest, handler: ExchangeHandler) => {
                sent = request;
                handler.onHead(proof);
                handler.onData(Buffer.from(events));
                handler.onFailure({ mayHaveRun: true, isUnreachable: false, isConnectionBroken: true, code: "cut" });
                return { abort: () => undefined, pause: () => undefined, resume: () => undefined };
            },
        };
        const run = new ItemRun({
            clock: new ManualClock(),
            headers: callHeaders,
            item,
            upstream: { id: "u", ...upstream } as never,
            onLeaving: () => undefined,
            onEnded: () => undefined,
        });
        run.start(connections as unknown as UpstreamConnections, { host: "h", body: Buffer.alloc(0) });
        return sent!.headers.includes("l") ? sent!.headers[sent!.headers.indexOf("l") + 1] : undefined;
    };
    return { item, runAt };
}

test("an item that was begun by one software version starts over at another", () => {
    const { item, runAt } = playItem();
    const [v1, v2] = ["v1", "v2"].map(softwareVersion => ({ service: "s", softwareVersion }));
    assert.equal(runAt(v1!, "id: 1\ndata: v1\n\n"), undefined);
    assert.equal(runAt(v1!, "id: 2\ndata: v1\n\n"), "1");
    assert.equal(runAt(v2!, "id: 1\ndata: v2\n\n"), undefined);
    assert.deepEqual([item.events, item.lastEventId], [["v2"], 1]);
});

// A route moved to another service while its items were half done. Upstreams of the other service, of the same software version,
// went on with them, and the results were joined from two services (review/8).
test("an item that was begun by one service starts over at another, also by the next leader", () => {
    const { item, runAt } = playItem();
    const [first, second] = ["s1", "s2"].map(service => ({ service, softwareVersion: "1" }));
    assert.equal(runAt(first!, "id: 1\ndata: s1\n\n"), undefined);
    const stored = decodeRecord<ItemProgress>(encodeRecord(pickProgress(item)));
    assert.equal(runAt(second!, "id: 1\ndata: s2\n\n"), undefined);
    assert.deepEqual([item.events, item.lastEventId], [["s2"], 1]);

    const next = playItem();
    Object.assign(next.item, stored);
    assert.equal(next.runAt(first!, "id: 2\ndata: s1\n\n"), "1", "the service that began it goes on");
    assert.equal(next.runAt(second!, "id: 1\ndata: s2\n\n"), undefined);
    assert.deepEqual(next.item.events, ["s2"]);
});

// A response without a length that was closed before its first event counted as the rest of an item that another run had
// begun, so that a part of its output was listed as all of it.
test("an item whose resumed response without a length is empty starts over", () => {
    const job = new OpenJob(createJobRecord({ id: "job", itemCount: 1, dueAtMs: 1000 }));
    const item = job.items[0]!;
    const runTo = (events: string, ending: ResponseEnding | "reset"): string => {
        let outcome = "";
        const connections = {
            send: (_upstream: Upstream, _request: ExchangeRequest, handler: ExchangeHandler) => {
                handler.onHead(proof);
                handler.onData(Buffer.from(events));
                if (ending === "reset") {
                    handler.onFailure({
                        mayHaveRun: true,
                        isUnreachable: false,
                        isConnectionBroken: true,
                        code: "cut",
                    });
                }
                else {
                    handler.onEnd(ending);
                }
                return { abort: () => undefined, pause: () => undefined, resume: () => undefined };
            },
        };
        const run = new ItemRun({
            clock: new ManualClock(),
            headers: callHeaders,
            item,
            upstream: { id: "u", softwareVersion: "v1" } as never,
            onLeaving: () => undefined,
            onEnded: ended => {
                outcome = ended.kind;
            },
        });
        run.start(connections as unknown as UpstreamConnections, { host: "h", body: Buffer.alloc(0) });
        return outcome;
    };
    assert.deepEqual([runTo("id: 1\ndata: a\n\n", "reset"), item.lastEventId], ["broken", 1]);
    assert.deepEqual([runTo("", "close"), item.lastEventId], ["broken", 0]);
    assert.deepEqual([runTo("id: 1\ndata: a\n\nid: 2\nda", "close"), item.lastEventId], ["broken", 1]);
    assert.deepEqual([runTo("", "last-chunk"), item.events], ["completed", ["a"]]);
});
