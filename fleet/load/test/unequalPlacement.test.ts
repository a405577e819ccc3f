// Requests were spread evenly over upstreams of unequal speed, and those at slow ones were late.
import type { Clock } from "@knapweedwood/core.clock/clock";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { Random } from "@knapweedwood/core.random/random";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import assert from "node:assert/strict";
import { test } from "node:test";
import { LeastLoadedPlacement } from "../src/leastLoadedPlacement.js";
import { LoadTracker } from "../src/loadTracker.js";
import { MeanSlowness } from "../src/meanSlowness.js";
import type { PlacementCost } from "../src/placementCost.js";
import { ServiceTimes } from "../src/serviceTimes.js";
import { UpstreamSpeeds } from "../src/upstreamSpeeds.js";
import { upstreamOf } from "./upstreamOf.js";

const FIRST_DATA_MS = 40;
const HOLD_MS = 800;
const NOW_MS = 100_000;
const SLOTS = 8;

/** Returns random numbers of a seed without the first ones, which are alike for all small seeds. */
function randomOf(seed: number): Random {
    const random = new SeededRandom(seed);
    Array.from({ length: 20 }).forEach(() => random.next());
    return random;
}

/** Sets up a process that has just learned the speeds of upstreams. */
function setUp(
    opts: { slowness: number[]; usesSpeeds?: boolean; peers?: number; seed?: number; cost?: PlacementCost; },
) {
    const time = { nowMs: 0 };
    const clock: Clock = {
        nowMs: () => time.nowMs,
        timeOfDayMs: () => time.nowMs,
        setTimer: () => ({ cancel: () => undefined }),
    };
    const speeds = new UpstreamSpeeds({ clock });
    const loadTracker = new LoadTracker();
    const upstreams = opts.slowness.map((_, index) => upstreamOf(`u${index}`, SLOTS));
    // The later samples are relative to the median over all upstreams.
    [0, NOW_MS].forEach(nowMs => {
        time.nowMs = nowMs;
        upstreams.forEach((upstream, index) => {
            const slowness = opts.slowness[index]!;
            speeds.recordFirstData(upstream, nowMs - FIRST_DATA_MS * slowness);
            speeds.recordHold(upstream, nowMs - HOLD_MS * slowness, true);
            Array.from({ length: 100 }).forEach(() => speeds.recordEvents(upstream, 1, nowMs - 10 * slowness));
        });
    });
    const placement = new LeastLoadedPlacement({
        loadTracker,
        random: randomOf(opts.seed ?? 1),
        zone: "z" as Upstream["zone"],
        connectionShare: () => Infinity,
        placingPeers: () => opts.peers ?? 0,
        ...opts.usesSpeeds === false ? {} : { speeds },
        ...opts.cost === undefined ? {} : { cost: opts.cost },
    });
    const fill = (index: number, count: number) =>
        Array.from({ length: count }).forEach(() => loadTracker.count(upstreams[index]!.id, "online", 1));
    const place = (request: { objectiveAtMs?: number; maxEventGapMs?: number; } = {}) => {
        const chosen = placement.placeOnline(upstreams, { promptParts: [], objectiveAtMs: NOW_MS + 300, ...request });
        const index = chosen === undefined ? undefined : upstreams.indexOf(chosen);
        if (index !== undefined) {
            fill(index, 1);
        }
        return index;
    };
    return { time, clock, speeds, upstreams, fill, place };
}

test("a slow upstream gets fewer requests than a fast one, and some once the fast ones are loaded", () => {
    const { place } = setUp({ slowness: [0.5, 1, 1, 1, 2] });
    const counts = [0, 0, 0, 0, 0];
    Array.from({ length: 25 }, () => place()).forEach(index => {
        counts[index!]! += 1;
    });
    assert.ok(counts[0]! > counts[1]! && counts[1]! > counts[4]! && counts[4]! > 0, `${counts}`);
});

test("with speeds that are about equal, the choices are those without speeds", () => {
    const slowness = [0.95, 1.05, 1, 1.1, 0.92];
    const choices = [true, false].map(usesSpeeds => {
        const { place } = setUp({ slowness, usesSpeeds, peers: 19 });
        return Array.from({ length: 30 }, () => place());
    });
    assert.deepEqual(choices[0], choices[1]);
});

test("an upstream too slow for the request is used only if no other has room and none will in time", () => {
    const { fill, place } = setUp({ slowness: [1, 1, 9] });
    fill(0, SLOTS - 1);
    fill(1, SLOTS);
    assert.equal(place(), 0, "the last slot of a fast one comes first");
    assert.equal(place(), undefined, "a slot is expected after 50 ms");
    assert.equal(place({ objectiveAtMs: NOW_MS + 60 }), 2, "the request would be late everywhere");
    assert.equal(place({ objectiveAtMs: NOW_MS - 100 }), 2, "the request is late already");
    assert.equal(place({ objectiveAtMs: NOW_MS + 1000 }), 2, "the slow one is fast enough");
});

test("a stream goes to an upstream that keeps its longest gap between events", () => {
    const { fill, place } = setUp({ slowness: [1, 1, 4] });
    [0, 1].forEach(index => fill(index, SLOTS));
    assert.equal(place({ maxEventGapMs: 50 }), undefined);
    assert.equal(place({ maxEventGapMs: 200 }), 2);
});

// Load pattern: a burst that reaches all gateways between two reports.
test("processes don't all choose the one fast upstream that has few free slots", () => {
    const chosen = Array.from({ length: 20 }, (_, seed) => {
        const { fill, place } = setUp({ slowness: [0.4, ...Array.from({ length: 30 }, () => 1)], peers: 19, seed });
        fill(0, 4);
        return place();
    });
    const atFastest = chosen.filter(index => index === 0).length;
    assert.ok(atFastest > 0 && atFastest <= SLOTS, `${atFastest}`);
});

test("a further term of the cost moves the choice by the time that it saves", () => {
    const saving = (savedMs: number) => ({ costOf: (upstream: Upstream) => upstream.id === "u1" ? -savedMs : 0 });
    const placed = [10, 200].map(savedMs => {
        const { fill, place } = setUp({ slowness: [1, 1, 1], cost: saving(savedMs) });
        fill(1, 3);
        return place() === 1;
    });
    assert.deepEqual(placed, [false, true]);
});

test("expected waits follow the speeds of the usable upstreams before slow requests have ended", () => {
    const { time, clock, speeds, upstreams } = setUp({ slowness: [1, 1, 1, 8, 8] });
    const service = "s" as ServiceName;
    let usable = upstreams.slice(0, 3);
    const mean = new MeanSlowness({ clock, speeds, usableUpstreams: () => usable });
    const times = new ServiceTimes({ meanSlowness: () => mean.of(service) });
    times.recordHold(service, HOLD_MS);
    assert.equal(times.meanHoldMs(service), HOLD_MS);
    usable = [upstreams[0]!, upstreams[3]!];
    time.nowMs += 100;
    // Half of the slots serve several times slower: together they serve nearly half as many requests.
    const ratio = times.meanHoldMs(service) / HOLD_MS;
    assert.ok(ratio > 1.6 && ratio < 2, `${ratio}`);
});
