import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import assert from "node:assert/strict";
import { test } from "node:test";
import { UpstreamHealth } from "../src/upstreamHealth.js";

const id = "u" as UpstreamId;

test("one failure is forgiven, two in a row take the upstream out for a while", () => {
    const health = new UpstreamHealth();
    assert.equal(health.onFailure(id, 0), false);
    [1, 2, 3, 4].forEach(nowMs => health.onSuccess(id, nowMs));
    assert.equal(health.onFailure(id, 10), false);
    assert.equal(health.onFailure(id, 20), true);
    assert.equal(health.isUsable(id, 100, 0), false);
    assert.equal(health.isUsable(id, 500, 0), true);
});

test("an upstream that fails every other request is taken out within a few of them", () => {
    const health = new UpstreamHealth();
    const ejectedAt = Array.from({ length: 10 }).findIndex((_, index) => {
        health.onSuccess(id, index);
        return health.onFailure(id, index);
    });
    assert.ok(ejectedAt >= 1 && ejectedAt <= 3, `after ${ejectedAt + 1} failures`);
});

test("after an ejection it gets one request at a time until three have succeeded", () => {
    const health = new UpstreamHealth();
    [0, 1].forEach(nowMs => health.onFailure(id, nowMs));
    assert.equal(health.isUsable(id, 500, 1), false);
    health.onFailure(id, 500);
    assert.equal(health.isUsable(id, 1000, 0), false, "a failed trial takes it out for longer");
    [1400, 1500].forEach(nowMs => health.onSuccess(id, nowMs));
    assert.equal(health.isUsable(id, 1600, 5), false);
    health.onSuccess(id, 1600);
    assert.equal(health.isUsable(id, 1600, 5), true);
});

test("long requests don't take out an upstream that answers others meanwhile", () => {
    const health = new UpstreamHealth();
    [100, 200, 300, 400].forEach(sentAtMs => {
        [0, 1, 2].forEach(() => health.onSuccess(id, sentAtMs + 500));
        assert.equal(health.onNoResponse(id, sentAtMs, sentAtMs + 750), false);
    });
    assert.equal(health.isUsable(id, 2000, 5), true);
});

test("an upstream that answers nothing any more is taken out", () => {
    const health = new UpstreamHealth();
    health.onSuccess(id, 500);
    assert.deepEqual([600, 700].map(sentAtMs => health.onNoResponse(id, sentAtMs, 1500)), [false, true]);
});

test("an upstream whose address another process has taken gets nothing at once", () => {
    const health = new UpstreamHealth();
    health.onMisdirected(id, 0);
    assert.equal(health.isUsable(id, 1000, 0), false);
    assert.equal(health.isUsable(id, 5000, 0), true);
});

test("two ejections by others of the zone, or three by those of other zones, take an upstream out here too", () => {
    const [sameZone, otherZone] = [new UpstreamHealth(), new UpstreamHealth()];
    const usableAfter = [1, 2, 3].map(nowMs => {
        sameZone.onPeerEjection(id, { isSameZone: true, nowMs });
        otherZone.onPeerEjection(id, { isSameZone: false, nowMs });
        return [sameZone.isUsable(id, nowMs, 0), otherZone.isUsable(id, nowMs, 0)];
    });
    assert.deepEqual(usableAfter, [[true, true], [false, true], [false, false]]);
    assert.deepEqual(sameZone.locallyEjectedIds(10), [], "what others told is not told on");
});

test("an upstream that answers here is not taken out for what others say", () => {
    const health = new UpstreamHealth();
    health.onSuccess(id, 0);
    [1, 2, 3].forEach(nowMs => health.onPeerEjection(id, { isSameZone: true, nowMs }));
    assert.equal(health.isUsable(id, 4, 0), true);
});

test("a trial that fails elsewhere ends the trial here", () => {
    const health = new UpstreamHealth();
    [0, 1].forEach(nowMs => health.onFailure(id, nowMs));
    assert.deepEqual(health.locallyEjectedIds(2), [id]);
    assert.equal(health.isUsable(id, 500, 0), true);
    health.onPeerEjection(id, { isSameZone: false, nowMs: 500 });
    assert.equal(health.isUsable(id, 501, 0), false);
});

/** Plays an upstream that fails all, before many processes. @returns failures until none sends there any more */
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

test("of 25 processes only a few have to fail before all know that an upstream fails", () => {
    assert.ok(failuresUntilEjectedEverywhere(25, true) <= 32, String(failuresUntilEjectedEverywhere(25, true)));
    assert.equal(failuresUntilEjectedEverywhere(25, false), 50);
});
