import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { HeartbeatMonitor } from "../src/heartbeatMonitor.js";
import { PingMonitor } from "../src/pingMonitor.js";

const SEED = 20_261_203;
const INTERVAL_MS = 100;
const IDLE_INTERVAL_MS = 1000;
const SILENT_AFTER_MS = 400;

function createMonitor(phaseMs: number): HeartbeatMonitor {
    return new HeartbeatMonitor({
        intervalMs: INTERVAL_MS,
        idleIntervalMs: IDLE_INTERVAL_MS,
        silentAfterMs: SILENT_AFTER_MS,
        phaseMs,
    });
}

test("a connection that stops responding is suspect, then silent within the limit and not earlier", () => {
    const inputs = { phaseMs: fc.nat(999), isBusy: fc.boolean(), stopMs: fc.integer({ min: 0, max: 3000 }) };
    fc.assert(
        fc.property(fc.record(inputs), ({ phaseMs, isBusy, stopMs }) => {
            const monitor = createMonitor(phaseMs);
            const intervalMs = isBusy ? INTERVAL_MS : IDLE_INTERVAL_MS;
            const livenessSeen = new Set<string>();
            for (let nowMs = 0; nowMs < 10_000;) {
                const decision = monitor.tick(nowMs, isBusy);
                livenessSeen.add(decision.liveness);
                if (decision.liveness === "silent") {
                    assert.ok(nowMs - stopMs <= intervalMs * 1.25 + SILENT_AFTER_MS + 1);
                    assert.ok(nowMs - stopMs >= SILENT_AFTER_MS - INTERVAL_MS);
                    assert.ok(livenessSeen.has("suspect"));
                    return;
                }
                if (decision.ping !== undefined && nowMs < stopMs) {
                    monitor.onPong(decision.ping.sequence);
                }
                nowMs += decision.nextTickMs;
            }
            assert.fail("the silence was not detected");
        }),
        { seed: SEED },
    );
});

test("an idle link sends fewer pings, and one immediately when a call starts", () => {
    const countPings = (isBusy: boolean) => {
        const monitor = createMonitor(1);
        let pings = 0;
        for (let nowMs = 0; nowMs < 10_000;) {
            const decision = monitor.tick(nowMs, isBusy);
            pings += decision.ping === undefined ? 0 : 1;
            monitor.onPong(pings);
            nowMs += decision.nextTickMs;
        }
        return pings;
    };
    assert.ok(countPings(true) > 90);
    assert.ok(countPings(false) <= 11);
    const monitor = createMonitor(1);
    assert.notEqual(monitor.tick(0, false).ping, undefined);
    assert.notEqual(monitor.tick(200, true).ping, undefined);
});

test("a connection that responds is not silent at either end, however often calls start and end", () => {
    const changes = fc.array(fc.integer({ min: 1, max: 2500 }), { minLength: 1, maxLength: 20 });
    fc.assert(
        fc.property(fc.nat(999), changes, (phaseMs, changesMs) => {
            const monitor = createMonitor(phaseMs);
            const pingMonitor = new PingMonitor({ silentAfterMs: SILENT_AFTER_MS }, 0);
            let isBusy = false;
            let nowMs = 0;
            let nextTickAtMs = 0;
            const sendHeartbeat = () => {
                const decision = monitor.tick(nowMs, isBusy);
                assert.equal(decision.liveness, "alive");
                if (decision.ping !== undefined) {
                    pingMonitor.onPing(nowMs, decision.ping.intervalMs);
                    monitor.onPong(decision.ping.sequence);
                }
                nextTickAtMs = nowMs + decision.nextTickMs;
            };
            changesMs.forEach(afterMs => {
                const changeAtMs = nowMs + afterMs;
                while (nextTickAtMs <= changeAtMs) {
                    nowMs = nextTickAtMs;
                    assert.notEqual(pingMonitor.liveness(nowMs), "silent");
                    sendHeartbeat();
                }
                nowMs = changeAtMs;
                assert.notEqual(pingMonitor.liveness(nowMs), "silent");
                isBusy = !isBusy;
                sendHeartbeat();
            });
        }),
        { seed: SEED },
    );
});

test("time in which this process was stalled does not make the connection silent", () => {
    const monitor = createMonitor(1);
    const { nextTickMs } = monitor.tick(0, true);
    assert.notEqual(monitor.tick(nextTickMs + 5000, true).liveness, "silent");
});

test("the accepting end waits for the interval announced in the last ping", () => {
    const pingMonitor = new PingMonitor({ silentAfterMs: SILENT_AFTER_MS }, 0);
    pingMonitor.onPing(1000, IDLE_INTERVAL_MS);
    assert.equal(pingMonitor.liveness(2000), "alive");
    assert.equal(pingMonitor.liveness(2300), "suspect");
    assert.equal(pingMonitor.liveness(2400), "silent");
    pingMonitor.excludeStall(300);
    assert.equal(pingMonitor.liveness(2400), "alive");
    pingMonitor.onPing(2401, INTERVAL_MS);
    assert.equal(pingMonitor.liveness(2450), "alive");
    assert.equal(pingMonitor.liveness(2560), "suspect");
});
