// Upstreams broke off single responses and lived on. A sound request that met three of them in a row was taken for one that
// crashes upstreams, and rejected for half a minute and more.
import assert from "node:assert/strict";
import { test } from "node:test";
import { SimulatedQuarantineFleet } from "./simulatedQuarantineFleet.js";

const PROCESSES = 8;
const CONVICTING_CRASHES = 3;
const STEP_MS = 40;
/** Time in which the responses of the upstreams to other requests have shown that they did not crash, in milliseconds. */
const PROVEN_AFTER_MS = 5000;

/** Sends requests that come again and succeed, each `STEP_MS` at another process. */
async function playPolls(fleet: SimulatedQuarantineFleet, durationMs: number): Promise<void> {
    const polls = Array.from({ length: PROCESSES }, (_, index) => fleet.createRequest(`poll-${index}`, false));
    for (let step = 0; step * STEP_MS < durationMs; step += 1) {
        fleet.arrive(step % PROCESSES, polls[step % PROCESSES]!);
        await fleet.clock.advance(STEP_MS);
    }
}

test("a request that three living upstreams broke off runs again soon", async () => {
    const fleet = new SimulatedQuarantineFleet({ processes: PROCESSES, seed: 1 });
    await playPolls(fleet, 1000);
    const request = fleet.createRequest("broken-off", false);
    request.runsToBreakOff = CONVICTING_CRASHES;
    fleet.arrive(0, request);
    await playPolls(fleet, PROVEN_AFTER_MS);
    assert.equal(request.cutAtMs.length, CONVICTING_CRASHES);
    fleet.arrive(0, request);
    await playPolls(fleet, 1000);
    assert.equal(request.rejections, 0);
    assert.ok(request.hasSucceeded);
});
