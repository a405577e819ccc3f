import assert from "node:assert/strict";
import { test } from "node:test";
import { setUpTeams, teamOf } from "./teamQueueSetUp.js";
import { upstreamOf } from "./upstreamOf.js";

const TEAMS = 20;
const EVENTS = 20;

/** Returns the most reads of times of waiting requests in one event of each kind, while `count` requests wait. */
async function mostReads(count: number): Promise<Map<string, number>> {
    const upstream = upstreamOf("a", 8);
    const teams = Array.from({ length: TEAMS }, (_, index) => teamOf(`t${index}`));
    const { clock, serviceTimes, queue, placed, submit, finish } = setUpTeams([upstream], teams);
    // So short that all requests of the test may wait.
    serviceTimes.recordHold(upstream.service, 0.001);
    let reads = 0;
    const counted = (value: number) =>
        ({
            valueOf: () => {
                reads += 1;
                return value;
            },
        }) as unknown as number;
    const submitOne = (index: number) =>
        submit({
            team: teams[index % TEAMS],
            isRetry: index % 3 === 0,
            arrivedAtMs: counted(clock.nowMs()),
            callerTimeoutAtMs: counted(clock.nowMs() + 2000),
        });
    const requests = Array.from({ length: count }, (_, index) => submitOne(index));
    await clock.advance(100);
    const most = new Map<string, number>();
    const measure = (event: string, action: () => unknown) => {
        reads = 0;
        action();
        most.set(event, Math.max(most.get(event) ?? 0, reads));
    };
    Array.from({ length: EVENTS }, (_, index) => measure("submit", () => submitOne(index)));
    Array.from({ length: EVENTS }, () => measure("finish", () => finish(upstream)));
    Array.from({ length: EVENTS }, () => measure("dispatch", () => queue.dispatch()));
    requests.filter(request => request.placedAt === undefined).slice(-EVENTS)
        .forEach(request => measure("remove", () => queue.remove(request)));
    measure("waiting counts", () => queue.waitingCounts());
    assert.equal(placed.length, upstream.slots + EVENTS);
    assert.equal(queue.waitingCounts()[0]!.count, count + EVENTS - placed.length - EVENTS);
    return most;
}

// The queue was one list, which each event sorted and filtered: 10,000 waiting requests blocked the process.
test("ten times as many waiting requests need less than twice the work for an event", async () => {
    const [few, many] = [await mostReads(1000), await mostReads(10_000)];
    few.forEach((reads, event) =>
        assert.ok(many.get(event)! <= 2 * reads, `${event}: ${reads} reads with 1,000, ${many.get(event)} with 10,000`)
    );
    assert.ok(Math.max(...many.values()) < 10_000, JSON.stringify([...many]));
});
