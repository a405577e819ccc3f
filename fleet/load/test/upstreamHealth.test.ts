import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import assert from "node:assert/strict";
import { test } from "node:test";
import { UpstreamHealth } from "../src/upstreamHealth.js";

const id = "u" as UpstreamId;

test("one failure is forgiven, two in a row take the upstream out for a while", () => {
    const health = new UpstreamHealth();
    assert.equal(health.onFailure(id, 0), false);
    health.onSuccess(id, 5);
    assert.equal(health.onFailure(id, 10), false);
    assert.equal(health.onFailure(id, 20), true);
    assert.equal(health.isUsable(id, 100, 0), false);
    assert.equal(health.isUsable(id, 500, 0), true);
});

test("after an ejection one request at a time shows whether it is back", () => {
    const health = new UpstreamHealth();
    [0, 1].forEach(nowMs => health.onFailure(id, nowMs));
    assert.equal(health.isUsable(id, 500, 1), false);
    health.onFailure(id, 500);
    assert.equal(health.isUsable(id, 1000, 0), false, "a failed trial takes it out for longer");
    health.onSuccess(id, 900);
    assert.equal(health.isUsable(id, 1000, 5), true);
});

test("long requests don't take out an upstream that answers others meanwhile", () => {
    const health = new UpstreamHealth();
    health.onSuccess(id, 500);
    [100, 200, 300].forEach(sentAtMs => assert.equal(health.onSilence(id, sentAtMs, 900), false));
    assert.equal(health.isUsable(id, 1000, 5), true);
    assert.deepEqual([600, 700].map(sentAtMs => health.onSilence(id, sentAtMs, 1500)), [false, true]);
});

test("an upstream whose address another process has taken gets nothing at once", () => {
    const health = new UpstreamHealth();
    health.onMisdirected(id, 0);
    assert.equal(health.isUsable(id, 1000, 0), false);
    assert.equal(health.isUsable(id, 5000, 0), true);
});
