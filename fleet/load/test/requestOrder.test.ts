import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { QueuedRequest } from "../src/queuedRequest.js";
import { setUpTeams, type TestRequest } from "./teamQueueSetUp.js";
import { upstreamOf } from "./upstreamOf.js";

const SEED = 20_261_204;
const FIRST_DATA_MS = 60;

/** The order of the list that the queue was before it knew teams. */
function compareByPreviousOrder(left: QueuedRequest, right: QueuedRequest, nowMs: number): number {
    const isLate = (request: QueuedRequest) => nowMs + FIRST_DATA_MS > request.objectiveAtMs;
    return left.priority - right.priority
        || Number(right.isStarted) - Number(left.isStarted)
        || Number(isLate(left)) - Number(isLate(right))
        || Number(left.isRetry) - Number(right.isRetry)
        || left.arrivedAtMs - right.arrivedAtMs;
}

// Guards against a queue for teams that changes which request deployments without teams serve next.
test("without teams, the request that is placed is the first one by the previous order", async () => {
    const action = fc.record({
        kind: fc.constantFrom("submit", "submit", "submit", "finish", "remove"),
        priority: fc.nat(2),
        isStarted: fc.boolean(),
        isRetry: fc.boolean(),
        ageMs: fc.nat(50),
        objectiveMs: fc.constantFrom(100, 300, 700),
        gapMs: fc.nat(40),
        index: fc.nat(50),
    });
    let compared = 0;
    await fc.assert(
        fc.asyncProperty(fc.array(action, { minLength: 20, maxLength: 60 }), async actions => {
            const upstream = upstreamOf("a", 1);
            const { clock, serviceTimes, queue, placed, submit, finish } = setUpTeams([upstream], undefined);
            serviceTimes.recordHold(upstream.service, 1);
            submit();
            let waiting: TestRequest[] = [];
            for (const { kind, ageMs, objectiveMs, gapMs, index, ...traits } of actions) {
                await clock.advance(gapMs);
                const arrivedAtMs = clock.nowMs() - ageMs;
                if (kind === "submit") {
                    waiting.push(submit({ ...traits, arrivedAtMs, objectiveAtMs: arrivedAtMs + objectiveMs }));
                }
                else if (kind === "remove" && waiting.length > 0) {
                    const [removed] = waiting.splice(index % waiting.length, 1);
                    queue.remove(removed!);
                }
                else if (kind === "finish") {
                    waiting = waiting.filter(one => one.retryAfterMs === undefined && one.placedAt === undefined);
                    const nowMs = clock.nowMs();
                    const before = placed.length;
                    finish(upstream);
                    const next = placed[before];
                    assert.equal(placed.length - before, Math.min(1, waiting.length));
                    waiting.forEach(other =>
                        assert.ok(compareByPreviousOrder(next!, other, nowMs) <= 0, JSON.stringify([next, other]))
                    );
                    compared += waiting.length > 1 ? 1 : 0;
                    if (next === undefined) {
                        submit();
                    }
                }
            }
        }),
        { seed: SEED, numRuns: 150 },
    );
    assert.ok(compared > 100, `only ${compared} choices among several requests`);
});
