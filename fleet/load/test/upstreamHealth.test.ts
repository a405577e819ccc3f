import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import assert from "node:assert/strict";
import { test } from "node:test";
import { UpstreamHealth } from "../src/upstreamHealth.js";

const id = "u" as UpstreamId;

test("tolerates one failure and ejects the upstream for a while after two consecutive failures", () => {
    const health = new UpstreamHealth();
    assert.equal(health.onFailure(id, 0), false);
    [1, 2, 3, 4].forEach(nowMs => health.onSuccess(id, nowMs));
    assert.equal(health.onFailure(id, 10), false);
    assert.equal(health.onFailure(id, 20), true);
    assert.equal(health.isUsable(id, 100, 0), false);
    assert.equal(health.isUsable(id, 500, 0), true);
});

test("ejects an upstream that fails every other request within a few requests", () => {
    const health = new UpstreamHealth();
    const ejectedAt = Array.from({ length: 10 }).findIndex((_, index) => {
        health.onSuccess(id, index);
        return health.onFailure(id, index);
    });
    assert.ok(ejectedAt >= 1 && ejectedAt <= 3, `after ${ejectedAt + 1} failures`);
});

test("probes an upstream after an ejection with one request at a time until three have succeeded", () => {
    const health = new UpstreamHealth();
    [0, 1].forEach(nowMs => health.onFailure(id, nowMs));
    assert.equal(health.isUsable(id, 500, 1), false);
    health.onFailure(id, 500);
    assert.equal(health.isUsable(id, 1000, 0), false, "a failed probe ejects it for longer");
    [1400, 1500].forEach(nowMs => health.onSuccess(id, nowMs));
    assert.equal(health.isUsable(id, 1600, 5), false);
    health.onSuccess(id, 1600);
    assert.equal(health.isUsable(id, 1600, 5), true);
});

test("does not eject an upstream for long requests while it responds to others", () => {
    const health = new UpstreamHealth();
    [100, 200, 300, 400].forEach(sentAtMs => {
        [0, 1, 2].forEach(() => health.onSuccess(id, sentAtMs + 500));
        assert.equal(health.onNoResponse(id, sentAtMs, sentAtMs + 750), false);
    });
    assert.equal(health.isUsable(id, 2000, 5), true);
});

test("ejects an upstream that no longer responds", () => {
    const health = new UpstreamHealth();
    health.onSuccess(id, 500);
    assert.deepEqual([600, 700].map(sentAtMs => health.onNoResponse(id, sentAtMs, 1500)), [false, true]);
});

test("ejects an upstream immediately when another process responds at its address", () => {
    const health = new UpstreamHealth();
    health.onMisdirected(id, 0);
    assert.equal(health.isUsable(id, 1000, 0), false);
    assert.equal(health.isUsable(id, 5000, 0), true);
});

test("ejects an upstream after two ejections by peers of the same zone or three by peers of other zones", () => {
    const [sameZone, otherZone] = [new UpstreamHealth(), new UpstreamHealth()];
    const usableAfter = [1, 2, 3].map(nowMs => {
        sameZone.onPeerEjection(id, { isSameZone: true, nowMs });
        otherZone.onPeerEjection(id, { isSameZone: false, nowMs });
        return [sameZone.isUsable(id, nowMs, 0), otherZone.isUsable(id, nowMs, 0)];
    });
    assert.deepEqual(usableAfter, [[true, true], [false, true], [false, false]]);
    assert.deepEqual(sameZone.locallyEjectedIds(10), [], "ejections reported by peers are not passed on");
});

test("ignores ejections by peers while the upstream responds to this process", () => {
    const health = new UpstreamHealth();
    health.onSuccess(id, 0);
    [1, 2, 3].forEach(nowMs => health.onPeerEjection(id, { isSameZone: true, nowMs }));
    assert.equal(health.isUsable(id, 4, 0), true);
});

test("ends the probing of an upstream when a peer ejects it", () => {
    const health = new UpstreamHealth();
    [0, 1].forEach(nowMs => health.onFailure(id, nowMs));
    assert.deepEqual(health.locallyEjectedIds(2), [id]);
    assert.equal(health.isUsable(id, 500, 0), true);
    health.onPeerEjection(id, { isSameZone: false, nowMs: 500 });
    assert.equal(health.isUsable(id, 501, 0), false);
});

/**
 * Simulates an upstream that fails all requests of many processes.
 *
 * @returns the number of failures until no process sends requests to it
 */
function failuresUntilEjectedEverywhere(processes: number, isReported: boolean): number {
    const healths = Array.from({ length: processes }, () => new UpstreamHealth());
    let failures = 0;
    for (let nowMs = 0; nowMs < 400; nowMs += 1) {
        const health = healths[nowMs * 7 % processes]!;
        if (!health.isUsable(id, nowMs, 0)) {
            continue;
        }
        failures += 1;
        if (health.onFailure(id, nowMs) && isReported) {
            healths.forEach((other, index) =>
                other === health || other.onPeerEjection(id, { isSameZone: index % 4 === 0, nowMs })
            );
        }
    }
    return failures;
}

test("ejects a failing upstream at all 25 processes after failures at only a few of them", () => {
    assert.ok(failuresUntilEjectedEverywhere(25, true) <= 32, String(failuresUntilEjectedEverywhere(25, true)));
    assert.equal(failuresUntilEjectedEverywhere(25, false), 50);
});
