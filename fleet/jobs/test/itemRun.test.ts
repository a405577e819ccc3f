// An item was resumed at an upstream of another software version, so that its output held events of both.
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { ExchangeHandler } from "@knapweedwood/fleet.upstreams/exchangeHandler";
import type { ExchangeRequest } from "@knapweedwood/fleet.upstreams/exchangeRequest";
import type { ResponseEnding } from "@knapweedwood/fleet.upstreams/responseEnding";
import type { UpstreamConnections } from "@knapweedwood/fleet.upstreams/upstreamConnections";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ItemRun } from "../src/itemRun.js";
import { OpenJob } from "../src/openJob.js";
import { callHeaders } from "./callHeaders.js";
import { createJobRecord } from "./createJobRecord.js";

const proof = { statusCode: 200, headers: [], header: (name: string) => name === "p" ? "proof" : undefined };

test("an item that was begun by one software version starts over at another", () => {
    const job = new OpenJob(createJobRecord({ id: "job", itemCount: 1, dueAtMs: 1000 }));
    const item = job.items[0]!;
    const runAt = (softwareVersion: string, events: string) => {
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
        const upstream = { id: softwareVersion, softwareVersion: softwareVersion as SoftwareVersion } as never;
        const run = new ItemRun({
            clock: new ManualClock(),
            headers: callHeaders,
            item,
            upstream,
            onLeaving: () => undefined,
            onEnded: () => undefined,
        });
        run.start(connections as unknown as UpstreamConnections, { host: "h", body: Buffer.alloc(0) });
        return sent!.headers.includes("l") ? sent!.headers[sent!.headers.indexOf("l") + 1] : undefined;
    };
    assert.equal(runAt("v1", "id: 1\ndata: v1\n\n"), undefined);
    assert.equal(runAt("v1", "id: 2\ndata: v1\n\n"), "1");
    assert.equal(runAt("v2", "id: 1\ndata: v2\n\n"), undefined);
    assert.deepEqual([item.events, item.lastEventId], [["v2"], 1]);
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
