import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import assert from "node:assert/strict";
import { test } from "node:test";
import { connectionShareOf } from "../src/connectionShareOf.js";
import { HoldTimes } from "../src/holdTimes.js";
import { LeastLoadedPlacement } from "../src/leastLoadedPlacement.js";
import { LoadTracker } from "../src/loadTracker.js";
import type { WaitingCall } from "../src/waitingCall.js";
import { WaitingRoom } from "../src/waitingRoom.js";
import { upstreamOf } from "./upstreamOf.js";

interface TestCall extends WaitingCall {
    placedAt: Upstream | undefined;
    refusedForMs: number | undefined;
}

function setUp(upstreams: Upstream[]) {
    const clock = new ManualClock();
    const random = new SeededRandom(1);
    const board = new LoadTracker();
    const room = new WaitingRoom({
        clock,
        random,
        board,
        holdTimes: new HoldTimes(),
        placement: new LeastLoadedPlacement({
            loadTracker: board,
            random,
            zone: "z" as Upstream["zone"],
            connectionShare: () => Infinity,
        }),
        usable: () => upstreams,
    });
    const call = (change: Partial<WaitingCall> = {}): TestCall => {
        const made: TestCall = {
            service: "s" as ServiceName,
            priority: 0,
            arrivedAtMs: clock.nowMs(),
            objectiveAtMs: clock.nowMs() + 300,
            giveUpAtMs: clock.nowMs() + 2000,
            isReturned: false,
            excluded: new Set(),
            placedAt: undefined,
            refusedForMs: undefined,
            onPlaced: upstream => {
                made.placedAt = upstream;
                board.count(upstream.id, "online", 1);
            },
            onRefused: retryAfterMs => {
                made.refusedForMs = retryAfterMs;
            },
            ...change,
        };
        return made;
    };
    const finish = (finished: TestCall) => {
        board.count(finished.placedAt!.id, "online", -1);
        room.pump();
    };
    return { clock, board, room, call, finish };
}

function enterMany(room: WaitingRoom, calls: TestCall[]): TestCall[] {
    calls.forEach(call => room.enter(call));
    return calls;
}

test("a burst spreads over the upstreams and never goes beyond their slots", () => {
    const { board, room, call } = setUp(["a", "b", "c"].map(id => upstreamOf(id)));
    const calls = enterMany(room, Array.from({ length: 7 }, () => call()));
    assert.equal(calls.filter(one => one.placedAt !== undefined).length, 6);
    ["a", "b", "c"].forEach(id => assert.equal(board.onlineCount(upstreamOf(id).id), 2));
});

test("what can't be on time is refused at once, with a time after which a slot is likely free", () => {
    const { room, call } = setUp([upstreamOf("a", 1)]);
    const [running, late] = enterMany(room, [call(), call()]);
    assert.notEqual(running!.placedAt, undefined);
    assert.ok(late!.refusedForMs! >= 500, `told to return after ${late!.refusedForMs} ms`);
});

test("of the waiting, fresh requests go first, then those that came back, and those that are late already last", async () => {
    const { clock, room, call, finish } = setUp([upstreamOf("a", 8)]);
    const running = enterMany(room, Array.from({ length: 8 }, () => call()));
    const [late] = enterMany(room, [call()]);
    await clock.advance(280);
    const [returned, fresh] = enterMany(room, [call({ isReturned: true }), call()]);
    finish(running[0]!);
    assert.deepEqual([fresh, returned, late].map(one => one!.placedAt?.id), ["a", undefined, undefined]);
    finish(running[1]!);
    assert.deepEqual([returned, late].map(one => one!.placedAt?.id), ["a", undefined]);
    finish(running[2]!);
    assert.equal(late!.placedAt?.id, "a");
});

test("a less urgent request never passes a more urgent one of its service", () => {
    const { room, call, finish } = setUp([upstreamOf("a", 8)]);
    const running = enterMany(room, Array.from({ length: 8 }, () => call()));
    const [low, high] = enterMany(room, [call({ priority: 2 }), call({ isReturned: true })]);
    finish(running[0]!);
    assert.deepEqual([low!.placedAt?.id, high!.placedAt?.id], [undefined, "a"]);
});

test("a waiting request is refused when its caller gives up, not later", async () => {
    const { clock, room, call } = setUp([upstreamOf("a", 1)]);
    const [, waiting] = enterMany(room, [call(), call({ isReturned: true })]);
    await clock.advance(1999);
    room.pump();
    assert.equal(waiting!.refusedForMs, undefined);
    await clock.advance(1);
    room.pump();
    assert.notEqual(waiting!.refusedForMs, undefined);
});

test("an upstream that must not get the request again is left out", () => {
    const { room, call } = setUp([upstreamOf("a"), upstreamOf("b")]);
    const [retried] = enterMany(room, [call({ excluded: new Set([upstreamOf("a").id]) })]);
    assert.equal(retried!.placedAt?.id, "b");
});

test("a request stays in its zone while no upstream elsewhere has fewer", () => {
    const away = { ...upstreamOf("away", 8), zone: "y" as Upstream["zone"] };
    const { board, room, call } = setUp([away, upstreamOf("near", 8)]);
    const calls = enterMany(room, Array.from({ length: 3 }, () => call()));
    assert.deepEqual(calls.map(one => one.placedAt?.id), ["near", "away", "near"]);
    assert.equal(board.onlineCount(away.id), 1);
});

test("a process never takes more than its share of an upstream's connections", () => {
    const board = new LoadTracker();
    const placement = new LeastLoadedPlacement({
        loadTracker: board,
        random: new SeededRandom(1),
        zone: "z" as Upstream["zone"],
        connectionShare: () => connectionShareOf({ maxConnections: 10, processes: 4 }),
    });
    const upstream = upstreamOf("a", 8);
    const placed = Array.from({ length: 4 }, () => {
        const chosen = placement.placeOnline([upstream]);
        board.count(upstream.id, "online", chosen === undefined ? -1 : 1);
        return chosen !== undefined;
    });
    assert.deepEqual(placed.slice(0, 3), [true, true, false]);
    assert.equal(connectionShareOf({ maxConnections: 2, processes: 40 }), 1, "a fleet that is too large still serves");
});
