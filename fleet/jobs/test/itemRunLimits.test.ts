// An upstream may send events without end, or an event without end. Items have no timeout: such a run kept its slot for
// good and filled the memory, and a result too large for the key-value service was written again and again, before all
// others.
import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import { MAX_VALUE_SIZE_BYTES } from "@knapweedwood/core.key-value/maxValueSizeBytes";
import type { ExchangeHandler } from "@knapweedwood/fleet.upstreams/exchangeHandler";
import type { ExchangeRequest } from "@knapweedwood/fleet.upstreams/exchangeRequest";
import type { ResponseHead } from "@knapweedwood/fleet.upstreams/responseHead";
import type { UpstreamConnections } from "@knapweedwood/fleet.upstreams/upstreamConnections";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ItemRun } from "../src/itemRun.js";
import type { ItemRunOutcome } from "../src/itemRunOutcome.js";
import type { JobItem } from "../src/jobItem.js";
import { OpenJob } from "../src/openJob.js";
import { pickProgress } from "../src/pickProgress.js";
import { callHeaders } from "./callHeaders.js";
import { createJobRecord } from "./createJobRecord.js";

const KIB = 1024;
const MAX_SENT_BYTES = 64 * KIB * KIB;
const proof = { statusCode: 200, headers: [], header: (name: string) => name === "p" ? "proof" : undefined };

class PlayedRun {
    readonly clock = new ManualClock();
    readonly outcomes: ItemRunOutcome[] = [];
    readonly item: JobItem;
    isAborted = false;
    sentBytes = 0;
    private handler: ExchangeHandler | undefined;

    constructor(head: ResponseHead = proof, item?: JobItem) {
        this.item = item ?? new OpenJob(createJobRecord({ id: "job", itemCount: 1, dueAtMs: 1000 })).items[0]!;
        const run = new ItemRun({
            clock: this.clock,
            headers: callHeaders,
            item: this.item,
            upstream: { id: "a", softwareVersion: "v1" } as never,
            onLeaving: () => undefined,
            onEnded: outcome => this.outcomes.push(outcome),
        });
        const connections = {
            send: (_upstream: Upstream, _request: ExchangeRequest, handler: ExchangeHandler) => {
                this.handler = handler;
                return {
                    abort: () => {
                        this.isAborted = true;
                    },
                    pause: () => undefined,
                    resume: () => undefined,
                };
            },
        };
        run.start(connections as unknown as UpstreamConnections, { host: "h", body: Buffer.alloc(0) });
        this.handler!.onHead(head);
    }

    send(text: string): void {
        this.sentBytes += text.length;
        this.handler!.onData(Buffer.from(text));
    }

    sendUntilAborted(textOf: (index: number) => string): void {
        for (let index = 0; !this.isAborted && this.sentBytes < MAX_SENT_BYTES; index += 1) {
            this.send(textOf(index));
        }
    }

    end(): void {
        this.handler!.onEnd("length");
    }
}

const eventOf = (id: number, data: string) => `id: ${id}\ndata: ${data}\n\n`;

test("a run whose event doesn't end is ended, and the item starts over", () => {
    const run = new PlayedRun();
    run.sendUntilAborted(index => index === 0 ? `${eventOf(1, "a")}id: 2\ndata: ` : "x".repeat(KIB));
    assert.deepEqual([run.isAborted, run.outcomes], [true, [{ kind: "garbled", code: "ANSWER_TOO_LARGE" }]]);
});

test("a run whose events don't end is ended, and the item starts over", () => {
    const run = new PlayedRun();
    run.sendUntilAborted(index => eventOf(index + 1, "x".repeat(KIB)));
    assert.deepEqual([run.isAborted, run.outcomes], [true, [{ kind: "garbled", code: "ANSWER_TOO_LARGE" }]]);
    const empty = new PlayedRun();
    empty.sendUntilAborted(index => eventOf(index + 1, ""));
    assert.deepEqual([empty.isAborted, empty.outcomes], [true, [{ kind: "garbled", code: "ANSWER_TOO_LARGE" }]]);
});

test("the events of earlier runs count for the size of an output", () => {
    const first = new PlayedRun();
    first.send(eventOf(1, "x".repeat(600 * KIB)));
    const second = new PlayedRun(proof, first.item);
    second.send(eventOf(2, "x".repeat(600 * KIB)));
    assert.deepEqual(second.outcomes, [{ kind: "garbled", code: "ANSWER_TOO_LARGE" }]);
});

test("the largest output fits into one value of the key-value service, whatever its characters are", () => {
    ["x", '"', "\u0001", "\u00e9", "\u6f22"].forEach(character => {
        const run = new PlayedRun();
        const largest = { progress: 0, result: 0 };
        run.sendUntilAborted(index => {
            const { item } = run;
            largest.progress = encodeRecord(pickProgress(item)).byteLength;
            const result = { itemId: item.id, state: "completed", output: item.events.join("\n") };
            largest.result = encodeRecord(result).byteLength;
            return eventOf(index + 1, character.repeat(8 * KIB));
        });
        assert.equal(run.isAborted, true);
        assert.ok(largest.progress <= MAX_VALUE_SIZE_BYTES, `progress of ${largest.progress} bytes`);
        assert.ok(largest.result <= MAX_VALUE_SIZE_BYTES, `result of ${largest.result} bytes`);
    });
});

test("an output of half a megabyte in many events is complete", () => {
    const run = new PlayedRun();
    const count = 25_000;
    Array.from({ length: count }, (_, index) => run.send(eventOf(index + 1, "t".repeat(20))));
    run.end();
    assert.deepEqual([run.outcomes, run.item.events.length], [[{ kind: "completed" }], count]);
});

test("a run that receives bytes but no events is silent", async () => {
    const run = new PlayedRun();
    run.send(eventOf(1, "a"));
    run.send("id: 2\ndata: ");
    for (let count = 0; count < 100 && run.outcomes.length === 0; count += 1) {
        await run.clock.advance(100);
        run.send("x");
    }
    const silent = { kind: "broken", code: "UPSTREAM_SILENT", isUnreachable: false, isConnectionBroken: false };
    assert.deepEqual([run.outcomes, run.isAborted, run.item.events], [[silent], true, ["a"]]);
});

test("a run that receives events slowly goes on", async () => {
    const run = new PlayedRun();
    for (let id = 1; id <= 20; id += 1) {
        await run.clock.advance(1000);
        run.send(eventOf(id, "a"));
    }
    assert.deepEqual([run.outcomes, run.item.lastEventId], [[], 20]);
});

// It was read until the run counted as silent, as fast as it came.
test("the body of a run that failed is bounded as well", () => {
    const run = new PlayedRun({ statusCode: 500, headers: [], header: () => undefined });
    run.sendUntilAborted(() => "x".repeat(KIB));
    assert.equal(run.isAborted, true);
});
