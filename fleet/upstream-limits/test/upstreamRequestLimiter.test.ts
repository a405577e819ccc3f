// Each process kept to an upstream's limit by itself, or not at all: together they sent many times as much.
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { SimulatedSenders } from "./simulatedSenders.js";

const SEED = Number(process.env["LIMITS_SEED"] ?? 20_261_205);
const RUNS = Number(process.env["LIMITS_RUNS"] ?? 60);
const WINDOW_MS = 4000;
/** Time after a limit was named first from which it binds, in milliseconds. */
const CONTACT_MS = 3000;

/** Returns the number of requests that the requirement allows within a window. */
function boundOf(requestsPerSecond: number): number {
    return 1.5 * requestsPerSecond * WINDOW_MS / 1000 + 5;
}

const faults = fc.record({
    afterMs: fc.integer({ min: 100, max: 2500 }),
    kind: fc.constantFrom("kill", "freeze", "cut", "heal", "pause", "surge"),
    index: fc.nat(100),
    lastsMs: fc.integer({ min: 300, max: 3000 }),
});

const cases = fc.record({
    seed: fc.nat(1e6),
    senders: fc.integer({ min: 1, max: 24 }),
    limit: fc.oneof(fc.double({ min: 0.3, max: 5, noNaN: true }), fc.double({ min: 5, max: 60, noNaN: true })),
    overload: fc.constantFrom(0.8, 1.2, 2, 6),
    lossShare: fc.constantFrom(0, 0.01, 0.1),
    maxDelayMs: fc.constantFrom(3, 20),
    spread: fc.constantFrom("even", "one", "uneven"),
    faults: fc.array(faults, { minLength: 0, maxLength: 6 }),
});

test("no window has more requests than an upstream's limit allows, through kills, freezes, cuts and lost reports", () => {
    fc.assert(
        fc.property(cases, one => {
            const fleet = new SimulatedSenders(one);
            let factor: number = one.overload;
            const rateOf = (index: number) => factor * one.limit * shareOf(one.spread, index, one.senders);
            fleet.run(1000, rateOf);
            fleet.limit = one.limit;
            const namedAtMs = fleet.nowMs;
            fleet.run(2000, rateOf);
            one.faults.forEach(({ afterMs, kind, index, lastsMs }) => {
                const sender = fleet.senders[index % fleet.senders.length]!;
                switch (kind) {
                    case "kill":
                        fleet.kill(sender, lastsMs);
                        break;
                    case "freeze":
                        fleet.freeze(sender, lastsMs);
                        break;
                    case "cut":
                        fleet.cut(sender, 1);
                        break;
                    case "heal":
                        fleet.heal();
                        break;
                    case "pause":
                        factor = 0;
                        break;
                    default:
                        factor = one.overload;
                }
                fleet.run(afterMs, rateOf);
            });
            fleet.heal();
            factor = one.overload;
            fleet.run(6000, rateOf);
            const most = fleet.maxInWindow(WINDOW_MS, namedAtMs + CONTACT_MS);
            assert.ok(most <= boundOf(one.limit), `${most} requests, ${boundOf(one.limit)} allowed`);
        }),
        { seed: SEED, numRuns: RUNS },
    );
});

function shareOf(spread: string, index: number, senders: number): number {
    switch (spread) {
        case "one":
            return index === 0 ? 1 : 0;
        case "uneven":
            return 2 * (index + 1) / (senders * (senders + 1));
        default:
            return 1 / senders;
    }
}

[1, 5, 20].forEach(senders => {
    test(`${senders} processes use nearly all of a limit when their requests exceed it, wherever these arrive`, () => {
        const fleet = new SimulatedSenders({ seed: 1, senders, lossShare: 0.005, maxDelayMs: 10 });
        fleet.limit = 2.5;
        fleet.run(4000, index => 5 * shareOf("even", index, senders));
        const fromMs = fleet.nowMs;
        let busy = 0;
        for (let second = 0; second < 40; second += 1) {
            fleet.run(1000, index => index === busy ? 5 : 0);
            busy = (busy + 7) % senders;
        }
        const used = fleet.arrivals.filter(({ atMs }) => atMs >= fromMs).length;
        assert.ok(used >= 0.9 * 2.5 * 40, `${used} requests`);
    });
});

test("a limit that ends in a response to one process ends for all", () => {
    const fleet = new SimulatedSenders({ seed: 1, senders: 5, lossShare: 0, maxDelayMs: 5 });
    fleet.limit = 1;
    fleet.run(4000, () => 1);
    fleet.limit = undefined;
    fleet.run(3000, () => 1);
    assert.ok(fleet.senders.every(({ limiter }) => limiter!.limitOf(fleet.upstream) === undefined));
    const fromMs = fleet.nowMs;
    fleet.run(2000, () => 20);
    assert.ok(fleet.arrivals.filter(({ atMs }) => atMs >= fromMs).length > 150);
});

test("a process that starts learns the limit from the others before it sends anything", () => {
    const fleet = new SimulatedSenders({ seed: 1, senders: 5, lossShare: 0, maxDelayMs: 5 });
    fleet.limit = 1;
    fleet.run(6000, () => 1);
    const sender = fleet.senders[0]!;
    fleet.kill(sender, 500);
    fleet.run(1000, index => index === 0 ? 0 : 1);
    assert.equal(sender.toldAtMs, undefined);
    assert.equal(sender.limiter!.limitOf(fleet.upstream), 1);
});

test("another process of an upstream has named no limit", () => {
    const fleet = new SimulatedSenders({ seed: 1, senders: 2, lossShare: 0, maxDelayMs: 5 });
    fleet.limit = 1;
    fleet.run(3000, () => 1);
    const restarted = { ...fleet.upstream, startedAtMs: fleet.upstream.startedAtMs + 1 };
    assert.ok(fleet.senders.every(({ limiter }) => limiter!.limitOf(restarted) === undefined));
    assert.ok(fleet.senders.every(({ limiter }) => limiter!.mayCall(restarted)));
});

test("an upstream that takes no requests gets one now and then, by which it can end its limit", () => {
    const fleet = new SimulatedSenders({ seed: 1, senders: 5, lossShare: 0, maxDelayMs: 5 });
    fleet.limit = 0;
    fleet.run(3000, () => 5);
    const fromMs = fleet.nowMs;
    fleet.run(20_000, () => 5);
    const probes = fleet.arrivals.filter(({ atMs }) => atMs >= fromMs).length;
    assert.ok(probes >= 1 && probes <= 10, `${probes} requests`);
});

test("items leave the room of a limit to calls", () => {
    const fleet = new SimulatedSenders({ seed: 1, senders: 1, lossShare: 0, maxDelayMs: 5 });
    fleet.limit = 2;
    fleet.run(1000, () => 2);
    fleet.run(3000, () => 0);
    const { limiter } = fleet.senders[0]!;
    assert.ok(limiter!.mayRunItem(fleet.upstream));
    limiter!.onSent(fleet.upstream);
    assert.ok(!limiter!.mayRunItem(fleet.upstream));
    assert.ok(limiter!.mayCall(fleet.upstream));
});
