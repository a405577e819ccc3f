// The load of an upstream was counted in requests only, so one that took 7.6 times as long got as many as the others.
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import assert from "node:assert/strict";
import { test } from "node:test";
import { LoadReportCodec } from "../src/loadReportCodec.js";
import { UpstreamSpeeds } from "../src/upstreamSpeeds.js";
import { loadReportOf } from "./loadReportOf.js";
import { upstreamOf } from "./upstreamOf.js";

/** Gaps between events: a quarter of the upstreams takes half the time of the others, a fifth 7.6 times as long. */
const GAPS_MS = Array.from({ length: 20 }, (_, index) => index < 5 ? 5 : index < 9 ? 76 : 10);
const [FAST, SLOW, USUAL] = [0, 5, 10];
const upstreams = GAPS_MS.map((_, index) => upstreamOf(`upstream-${index}`));

/** Lets one stream run at each upstream for a time; `changed` gives other gaps. */
async function stream(
    clock: ManualClock,
    speeds: UpstreamSpeeds,
    durationMs: number,
    changed: { [index: number]: number; } = {},
): Promise<void> {
    for (let elapsedMs = 1; elapsedMs <= durationMs; elapsedMs += 1) {
        await clock.advance(1);
        GAPS_MS.map((gapMs, index) => changed[index] ?? gapMs).forEach((gapMs, index) => {
            if (elapsedMs % gapMs === 0) {
                speeds.recordEvents(upstreams[index]!, 1, clock.nowMs() - gapMs);
            }
        });
    }
}

function assertNear(actual: number, expected: number): void {
    assert.ok(Math.abs(actual / expected - 1) < 0.2, `${actual}, expected about ${expected}`);
}

function setUp() {
    const clock = new ManualClock();
    const speeds = new UpstreamSpeeds({ clock });
    const slownessOf = (index: number) => speeds.slownessOf(upstreams[index]!.id);
    return { clock, speeds, slownessOf };
}

// With the mean of all requests as the reference, beliefs drift as placement sends more requests to fast upstreams.
test("speeds are relative to most upstreams, though many are faster or much slower, and are known within a second", async () => {
    const { clock, speeds, slownessOf } = setUp();
    await stream(clock, speeds, 1000);
    assertNear(slownessOf(FAST), 0.5);
    assertNear(slownessOf(SLOW), 7.6);
    assert.equal(slownessOf(USUAL), 1);
    for (let count = 0; count < 500; count += 1) {
        speeds.recordEvents(upstreams[FAST]!, 1, clock.nowMs() - 5);
    }
    assertNear(slownessOf(FAST), 0.5);
    assert.equal(slownessOf(USUAL), 1);
});

test("a short slowdown is followed at once and forgotten at its end", async () => {
    const { clock, speeds, slownessOf } = setUp();
    await stream(clock, speeds, 2000);
    await stream(clock, speeds, 300, { [USUAL]: 25 });
    assert.ok(slownessOf(USUAL) > 1.8, `${slownessOf(USUAL)}`);
    assert.ok(speeds.lastingSlownessOf(upstreams[USUAL]!.id) < 1.4);
    await stream(clock, speeds, 400);
    assert.equal(slownessOf(USUAL), 1);
});

test("a belief returns to the mean without samples, and none is left for good", async () => {
    const { clock, speeds, slownessOf } = setUp();
    await stream(clock, speeds, 2000);
    await clock.advance(5000);
    assert.ok(slownessOf(SLOW) > 1.5 && slownessOf(SLOW) < 5, `${slownessOf(SLOW)}`);
    await clock.advance(56_000);
    assert.equal(slownessOf(SLOW), 1);
    speeds.expire();
    assert.deepEqual(speeds.ids(), []);
});

test("a restarted upstream counts as one of mean speed, whatever late responses of its old process tell", async () => {
    const { clock, speeds, slownessOf } = setUp();
    await stream(clock, speeds, 1000);
    speeds.recordEvents({ ...upstreams[SLOW]!, startedAtMs: 2 }, 1, clock.nowMs() - 10);
    assert.equal(slownessOf(SLOW), 1);
    await stream(clock, speeds, 200);
    assert.equal(slownessOf(SLOW), 1);
});

test("one slow request, or times measured while this process stalled, don't make an upstream slow", async () => {
    const { clock, speeds, slownessOf } = setUp();
    await stream(clock, speeds, 1000);
    speeds.recordEvents(upstreams[USUAL]!, 1, clock.nowMs() - 80);
    assert.ok(slownessOf(USUAL) < 2.5, `${slownessOf(USUAL)}`);
    await stream(clock, speeds, 200);
    assert.equal(slownessOf(USUAL), 1);
    const sentAtMs = clock.nowMs();
    await clock.advance(200);
    speeds.recordTimer(sentAtMs + 20);
    upstreams.forEach(upstream => speeds.recordEvents(upstream, 1, sentAtMs));
    await clock.advance(10);
    upstreams.forEach(upstream => speeds.recordEvents(upstream, 1, clock.nowMs() - 10));
    assert.ok(slownessOf(USUAL) < 1.5, `${slownessOf(USUAL)}`);
});

test("several events of one chunk are as many samples", async () => {
    const { clock, speeds, slownessOf } = setUp();
    await stream(clock, speeds, 1000);
    for (let count = 0; count < 10; count += 1) {
        await clock.advance(50);
        speeds.recordEvents(upstreams[USUAL]!, 5, clock.nowMs() - 50);
    }
    assert.equal(slownessOf(USUAL), 1);
});

// A belief that returned to its origin as another sample would confirm itself.
test("reports tell peers only what their sender has observed, in at most 60 bytes", async () => {
    const { clock, speeds } = setUp();
    await stream(clock, speeds, 1000);
    const counts = upstreams.map(({ id }) => ({ upstreamId: id, online: 1, batch: 0 }));
    const codec = new LoadReportCodec();
    const report = loadReportOf({ counts, speeds: speeds.reported(counts) });
    const bytes = codec.encode(report);
    assert.ok(bytes.length - codec.encode(loadReportOf({ counts })).length <= 60);
    const message = codec.decodeMessage(bytes);
    assert.ok(message.kind === "direct");
    const peer = new UpstreamSpeeds({ clock });
    [0, 20, 40].forEach(() => peer.apply(message.report.report));
    assertNear(peer.slownessOf(upstreams[FAST]!.id), 0.7);
    assertNear(peer.slownessOf(upstreams[SLOW]!.id), 7);
    assert.equal(peer.slownessOf(upstreams[USUAL]!.id), 1);
    assert.deepEqual(peer.reported(counts), []);
    assert.deepEqual(speeds.reported([]), [], "only upstreams with requests of the process are reported");
    const many = Array.from({ length: 40 }, (_, index) => upstreamOf(`other-${index}`));
    many.forEach(upstream => {
        for (let count = 0; count < 4; count += 1) {
            speeds.recordEvents(upstream, 1, clock.nowMs() - 76);
        }
    });
    const manyCounts = many.map(({ id }) => ({ upstreamId: id, online: 1, batch: 0 }));
    const full = loadReportOf({ counts: manyCounts, speeds: speeds.reported(manyCounts) });
    assert.ok(full.speeds!.length > 0);
    assert.ok(codec.encode(full).length - codec.encode(loadReportOf({ counts: manyCounts })).length <= 60);
});
