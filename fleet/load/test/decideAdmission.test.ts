import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { AdmissionInputs } from "../src/admissionInputs.js";
import { decideAdmission } from "../src/decideAdmission.js";
import { ServiceTimes } from "../src/serviceTimes.js";

const inputs: AdmissionInputs = {
    waitingAhead: 9,
    slots: 10,
    meanHoldMs: 500,
    meanFirstDataMs: 60,
    objectiveLeftMs: 600,
    callerTimeLeftMs: 2000,
    deadlineLeftMs: 4500,
    isRetry: false,
};

test("a request waits only if its first data is expected within the objective", () => {
    assert.equal(decideAdmission(inputs).kind, "wait");
    assert.equal(decideAdmission({ ...inputs, meanFirstDataMs: 150 }).kind, "reject");
    assert.equal(decideAdmission({ ...inputs, meanFirstDataMs: 150, isRetry: true }).kind, "wait");
});

// Load pattern: a queue of many seconds, with callers of different patience. A caller that is told to come back later
// than it can has no second attempt.
test("a rejected caller is told to return within a third of the time that it has left", () => {
    const retryAfterMs = [{}, { deadlineLeftMs: 600 }, { deadlineLeftMs: 30_000 }, { waitingAhead: 0, slots: 0 }]
        .map(change => decideAdmission({ ...inputs, waitingAhead: 999, ...change }))
        .map(decision => decision.kind === "reject" && decision.retryAfterMs);
    assert.deepEqual(retryAfterMs, [1500, 200, 10_000, 1500]);
});

test("mean times follow the first samples at once", () => {
    const times = new ServiceTimes();
    const service = "s" as ServiceName;
    assert.equal(times.meanFirstDataMs(service), 0);
    times.recordFirstData(service, 80);
    times.recordFirstData(service, 120);
    assert.equal(times.meanFirstDataMs(service), 100);
    times.recordHold(service, 900);
    assert.equal(times.meanHoldMs(service), 900);
});
