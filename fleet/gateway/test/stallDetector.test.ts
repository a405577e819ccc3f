import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import assert from "node:assert/strict";
import { test } from "node:test";
import { StallDetector } from "../src/stallDetector.js";

function start(opts: { objectiveMs: number; maxEventGapMs?: number; isCallerSlow?: boolean; }) {
    const clock = new ManualClock();
    const seen: string[] = [];
    const detector = new StallDetector({
        clock,
        route: { objectiveMs: opts.objectiveMs, maxEventGapMs: opts.maxEventGapMs },
        isCallerSlow: () => opts.isCallerSlow ?? false,
        onNoResponse: () => seen.push(`no response at ${clock.nowMs()}`),
        onPaused: () => seen.push(`paused at ${clock.nowMs()}`),
    });
    return { clock, seen, detector };
}

test("an upstream without a response is reported after two and a half objectives, within bounds", async () => {
    for (const [objectiveMs, atMs] of [[300, 750], [100, 350], [900, 1000]] as const) {
        const { clock, seen } = start({ objectiveMs });
        await clock.advance(5000);
        assert.deepEqual(seen, [`no response at ${atMs}`]);
    }
});

test("a response that stops is reported after two event gaps, unless its caller reads too slowly", async () => {
    for (const [isCallerSlow, expected] of [[false, ["paused at 1400"]], [true, []]] as const) {
        const { clock, seen, detector } = start({ objectiveMs: 300, maxEventGapMs: 500, isCallerSlow });
        detector.onHead();
        await clock.advance(400);
        detector.onData(true);
        await clock.advance(5000);
        assert.deepEqual(seen, expected);
        detector.cancel();
    }
});

test("a head without data doesn't count as silence, and nothing is reported after the end", async () => {
    const begun = start({ objectiveMs: 300 });
    begun.detector.onHead();
    await begun.clock.advance(5000);
    assert.deepEqual(begun.seen, []);
    const ended = start({ objectiveMs: 300 });
    ended.detector.cancel();
    await ended.clock.advance(5000);
    assert.deepEqual(ended.seen, []);
});

// An upstream that sent single bytes of an event kept its stream until the caller's deadline, since each byte counted as data.
test("a response that gets only parts of an event now and then is reported like one that stops", async () => {
    const { clock, seen, detector } = start({ objectiveMs: 300, maxEventGapMs: 500 });
    detector.onHead();
    detector.onData(true);
    for (let atMs = 0; atMs < 2000; atMs += 200) {
        await clock.advance(200);
        detector.onData(false);
    }
    assert.deepEqual(seen, ["paused at 1000"]);
    detector.cancel();
});

test("a stream whose events come slowly but within two event gaps isn't reported", async () => {
    const { clock, seen, detector } = start({ objectiveMs: 300, maxEventGapMs: 500 });
    detector.onHead();
    for (let atMs = 0; atMs < 6000; atMs += 900) {
        detector.onData(true);
        await clock.advance(900);
    }
    assert.deepEqual(seen, []);
    detector.cancel();
});
