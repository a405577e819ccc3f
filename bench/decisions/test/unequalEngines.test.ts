// With engines of unequal speed, calls at slow ones were late, as requests were spread by their numbers only. The load: a
// quarter of 33 engines at 0.55, the others at 1.2, each slowed 2.5 times for 15 % of the time in phases of 600 ms; 20
// gateways in four zones of unequal demand that changes in steps, with reports that take 40 ms.
import assert from "node:assert/strict";
import { test } from "node:test";
import { simulateUnequal } from "../src/simulateUnequal.js";
import type { StreamOutcome } from "../src/streamOutcome.js";
import type { UnequalLoad } from "../src/unequalLoad.js";
import { unequalLoads } from "../src/unequalLoads.js";

const SEEDS = [1, 2];
/** Calls that arrive later may not have ended when the simulation does. */
const LAST_CALLS_MS = 2500;
const OBJECTIVE_MS = 300;
const SLOWED_FROM_MS = 8000;

function callsOf(load: UnequalLoad, usesSpeeds: boolean): StreamOutcome[] {
    return SEEDS
        .flatMap(seed => simulateUnequal({ load, usesSpeeds, seed }).calls)
        .filter(call => call.arrivedAtMs < load.durationMs - LAST_CALLS_MS);
}

function firstEventMsOf(call: StreamOutcome): number {
    return call.isRejected ? Infinity : (call.firstEventAtMs ?? Infinity) - call.arrivedAtMs;
}

function p99Of(calls: StreamOutcome[]): number {
    const sorted = calls.map(firstEventMsOf).sort((left, right) => left - right);
    return sorted[Math.floor(sorted.length * 0.99)]!;
}

function lateOf(calls: StreamOutcome[]): number {
    return calls.filter(call => firstEventMsOf(call) > OBJECTIVE_MS).length;
}

test("with unequal engines the 99th percentile of the time to the first event is at most 1.3 times that with equal ones", () => {
    const equal = p99Of(callsOf(unequalLoads.equal, true));
    const unequal = p99Of(callsOf(unequalLoads.unequal, true));
    const previous = p99Of(callsOf(unequalLoads.unequal, false));
    assert.ok(unequal <= equal * 1.3, `${unequal} ms, with equal engines ${equal} ms`);
    assert.ok(unequal < previous / 1.5, `${unequal} ms, placed by numbers of requests ${previous} ms`);
});

test("at low load, calls come sooner than placed by numbers of requests", () => {
    const load = { ...unequalLoads.unequal, requestsPerS: 100 };
    const [unequal, previous] = [true, false].map(usesSpeeds => p99Of(callsOf(load, usesSpeeds)));
    assert.ok(unequal! < previous!, `${unequal} ms, placed by numbers of requests ${previous} ms`);
});

test("with equal engines, learned speeds change nothing that matters", () => {
    const [learned, previous] = [true, false].map(usesSpeeds => lateOf(callsOf(unequalLoads.equal, usesSpeeds)));
    assert.ok(learned! <= previous! * 1.1, `${learned} late calls, without speeds ${previous}`);
});

test("all gateways know within a second that engines take 7.6 times as long, and fewer calls are late", () => {
    const load = unequalLoads.persistentlySlow;
    const slow = [7, 12, 17, 22, 27, 32];
    SEEDS.forEach(seed => {
        const durationMs = SLOWED_FROM_MS + 1000;
        const { slownessOf } = simulateUnequal({ load: { ...load, durationMs }, usesSpeeds: true, seed });
        const least = slow.map(engine => Math.min(...slownessOf(engine)));
        assert.ok(least.every(slowness => slowness > 3), `${least}`);
    });
    const [learned, previous] = [true, false].map(usesSpeeds =>
        callsOf(load, usesSpeeds).filter(call => call.arrivedAtMs > SLOWED_FROM_MS + 1000)
    );
    const atSlow = (calls: StreamOutcome[]) =>
        calls.filter(call => slow.some(index => call.upstreamId === `e${index}`));
    const [lateThere, lateBefore] = [lateOf(atSlow(learned!)), lateOf(atSlow(previous!))];
    assert.ok(lateThere < lateBefore / 4, `${lateThere} late calls there, placed by numbers of requests ${lateBefore}`);
    assert.ok(lateOf(learned!) < lateOf(previous!), `${lateOf(learned!)} late calls, before ${lateOf(previous!)}`);
});

test("an upstream that restarts is neither flooded nor starved", () => {
    const load = unequalLoads.restarted;
    const { atMs, engine } = load.restart;
    const calls = callsOf(load, true).filter(call => call.arrivedAtMs > atMs && call.arrivedAtMs < atMs + 1000);
    const shareOf = (index: number) => calls.filter(call => call.upstreamId === `e${index}`).length / calls.length;
    const others = Array.from({ length: 25 }, (_, index) => shareOf(8 + index));
    const mean = others.reduce((sum, share) => sum + share, 0) / others.length;
    assert.ok(shareOf(engine) > mean / 4 && shareOf(engine) < mean * 4, `${shareOf(engine)}, usual ${mean}`);
});
