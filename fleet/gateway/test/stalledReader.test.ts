// Responses to callers that had stopped reading were kept until the process ended. Upstreams broke off responses that they
// had to hold back because a caller read slowly.
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import { ServiceTimes } from "@knapweedwood/fleet.load/serviceTimes";
import { MemoryBudget } from "@knapweedwood/fleet.memory/memoryBudget";
import { MemoryReservation } from "@knapweedwood/fleet.memory/memoryReservation";
import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import { test } from "node:test";
import type { Attempt } from "../src/attempt.js";
import { cutOffStalledReader } from "../src/cutOffStalledReader.js";
import { ResponseForwarder } from "../src/responseForwarder.js";
import type { ResponseWriter } from "../src/responseWriter.js";

/** Reports `timeouts` timeouts of the socket of a response. Returns what became of it. */
function reportTimeouts(timeouts: number, writableLength: number) {
    let cutOffs = 0;
    let isDestroyed = false;
    const response = Object.assign(new EventEmitter(), {
        writableLength,
        writableEnded: false,
        writableFinished: false,
        headersSent: true,
        destroyed: false,
        socket: null,
        req: { httpVersionMinor: 1 },
        setTimeout: () => undefined,
        destroy: () => {
            isDestroyed = true;
        },
    });
    const onCutOff = () => {
        cutOffs += 1;
    };
    cutOffStalledReader(response as unknown as ServerResponse, { maxStallMs: 100, onCutOff });
    Array.from({ length: timeouts }).forEach(() => response.emit("timeout"));
    return { cutOffs, isDestroyed, listeners: response.listenerCount("timeout") };
}

test("a caller that takes nothing of what waits for it is cut off", () => {
    assert.deepEqual(reportTimeouts(1, 10), { cutOffs: 1, isDestroyed: true, listeners: 1 });
});

test("a response that waits for its upstream stays, with one listener", () => {
    assert.deepEqual(reportTimeouts(5, 0), { cutOffs: 0, isDestroyed: false, listeners: 1 });
});

function forward(opts: { unsentBytes: number; limitBytes: number; hasStarted: boolean; isCallerSlow: boolean; }) {
    let pauses = 0;
    const pause = () => {
        pauses += 1;
    };
    const attempt = {
        startedAtMs: 0,
        stallDetector: { hasData: true, onData: () => undefined },
        sampler: { onData: () => undefined, onPaused: () => undefined },
        exchange: { pause, resume: () => undefined },
    } as unknown as Attempt;
    const writer = {
        statusCode: 200,
        progress: 0,
        hasStarted: opts.hasStarted,
        unsentBytes: opts.unsentBytes,
        onData: () => !opts.isCallerSlow,
        isOverLimit: () => false,
    } as unknown as ResponseWriter;
    const budget = new MemoryBudget({ limitBytes: opts.limitBytes });
    const forwarder = new ResponseForwarder({
        clock: new ManualClock(),
        serviceTimes: new ServiceTimes(),
        writer,
        response: new EventEmitter() as ServerResponse,
        memory: new MemoryReservation({ budget, teamId: undefined }),
        recorder: { onData: () => undefined } as never,
        continuity: undefined,
    });
    return { outcome: forwarder.onData(attempt, "s" as never, Buffer.from("x")), pauses };
}

test("an upstream waits for a slow caller only above the bytes that are kept for one, or without memory", () => {
    const slow = { hasStarted: true, isCallerSlow: true, limitBytes: 1_000_000 };
    assert.deepEqual(forward({ ...slow, unsentBytes: 200_000 }), { outcome: "forwarded", pauses: 0 });
    assert.deepEqual(forward({ ...slow, unsentBytes: 300_000 }), { outcome: "forwarded", pauses: 1 });
    assert.deepEqual(forward({ ...slow, unsentBytes: 200_000, limitBytes: 100_000 }), {
        outcome: "forwarded",
        pauses: 1,
    });
});

test("without memory a response that is collected before it is sent ends, and a stream that has begun doesn't", () => {
    const full = { unsentBytes: 2000, limitBytes: 1000, isCallerSlow: false };
    assert.equal(forward({ ...full, hasStarted: false }).outcome, "no-memory");
    assert.equal(forward({ ...full, hasStarted: true }).outcome, "forwarded");
});
