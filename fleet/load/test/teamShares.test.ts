import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import assert from "node:assert/strict";
import { test } from "node:test";
import { TeamWeights } from "../src/teamWeights.js";
import { SERVICE, setUpTeams, teamOf, type TestRequest } from "./teamQueueSetUp.js";
import { upstreamOf } from "./upstreamOf.js";

const heavy = teamOf("heavy");
const quiet = teamOf("quiet");
const SLOTS = 8;
/** Fewer requests than this wait for sure, whatever their team. */
const PATIENT = { objectiveAtMs: 20_000, callerTimeoutAtMs: 20_000, deadlineAtMs: 30_000 };

/** Creates a queue whose slots are all taken by the heavy team, which also has 40 waiting requests. */
function setUpBacklog(teams = [heavy, quiet]) {
    const upstreams = [upstreamOf("a", SLOTS / 2), upstreamOf("b", SLOTS / 2)];
    const queue = setUpTeams(upstreams, teams);
    queue.serviceTimes.recordHold(SERVICE, 400);
    const backlog = Array.from({ length: SLOTS + 40 }, () => queue.submit({ team: heavy, ...PATIENT })).slice(SLOTS);
    return { ...queue, upstreams, backlog };
}

// A team's backlog was ahead of all later requests, so that they were late or rejected.
test("a long backlog of one team neither delays nor rejects another team's request", () => {
    const { submit, finish, upstreams } = setUpBacklog();
    const request = submit({ team: quiet });
    assert.equal(request.retryAfterMs, undefined);
    assert.ok(request.estimate!.waitingAhead < 2, `${request.estimate!.waitingAhead} ahead`);
    finish(upstreams[0]!);
    finish(upstreams[0]!);
    assert.notEqual(request.placedAt, undefined);
});

test("the caller of a heavy team is told to return when the team's own backlog is served", () => {
    const { submit } = setUpBacklog();
    const { retryAfterMs, estimate } = submit({ team: heavy, deadlineAtMs: 30_000 });
    const backlogMs = 41 * 400 / SLOTS;
    assert.ok(estimate!.expectedWaitMs >= backlogMs, `${estimate!.expectedWaitMs} ms`);
    assert.ok(retryAfterMs! >= backlogMs && retryAfterMs! <= 1.3 * 10_000, `${retryAfterMs} ms`);
});

test("waiting teams are served in proportion to their weights", () => {
    const [large, small] = [teamOf("large", { requestsPerSecond: 30 }), teamOf("small", { requestsPerSecond: 10 })];
    const { submit, finish, placed, upstreams } = setUpBacklog([heavy, large, small]);
    [large, small].forEach(team => Array.from({ length: 60 }, () => submit({ team, ...PATIENT })));
    Array.from({ length: 50 }, () => finish(upstreams[0]!));
    const served = [heavy, large, small].map(({ id }) => placed.slice(SLOTS).filter(one => one.team!.id === id).length);
    // The heavy team has no limit, and so the mean weight of 20.
    [50 / 3, 25, 50 / 6].forEach((expected, index) =>
        assert.ok(Math.abs(served[index]! - expected) <= 2, served.join(" "))
    );
});

test("a less urgent team keeps a quarter of its weight, a team without a limit has the mean weight", () => {
    const teams = [
        teamOf("a", { requestsPerSecond: 40 }),
        teamOf("b", { requestsPerSecond: 40, priority: 9 }),
        teamOf("c"),
    ];
    const weights = new TeamWeights(() => teams);
    const ids = ["a", "b", "c", "removed"] as TeamId[];
    assert.deepEqual(ids.map(id => weights.weightOf(id)), [40, 10, 40, 40]);
    assert.equal(new TeamWeights(() => [teamOf("a")]).weightOf("a" as TeamId), 1);
});

test("requests whose response has begun go first, and late ones last, whatever their team", async () => {
    const { clock, submit, finish, placed, upstreams } = setUpBacklog([heavy, quiet]);
    const late = submit({ team: quiet });
    await clock.advance(280);
    const begun = submit({ team: heavy, isStarted: true });
    finish(upstreams[0]!);
    finish(upstreams[0]!);
    assert.deepEqual(placed.slice(SLOTS).map(one => one === begun), [true, false]);
    assert.equal(late.placedAt, undefined);
});

// A request that had failed at the only free upstream kept all teams from its slots.
test("a request that can't use the free slots holds up no other team", () => {
    const upstreams = [upstreamOf("a", 1), upstreamOf("b", 1)];
    const { submit, finish } = setUpTeams(upstreams, [heavy, quiet]);
    const [first] = [submit({ team: heavy }), submit({ team: heavy })];
    const bound = submit({ team: heavy, isRetry: true, excluded: new Set([first!.placedAt!.id]) });
    const other = submit({ team: quiet, isRetry: true });
    finish(first!.placedAt!);
    assert.deepEqual([bound.placedAt, other.placedAt?.id], [undefined, first!.placedAt!.id]);
});

// Such a request waited for nothing until its caller timed out, too late for a retry.
test("when upstreams leave, requests that can't be reached any more are rejected before their callers time out", () => {
    const { clock, queue, backlog, upstreams, submit } = setUpBacklog();
    const retries = Array.from(
        { length: 8 },
        () => submit({ team: heavy, isRetry: true, callerTimeoutAtMs: 3500, deadlineAtMs: 9000 }),
    );
    const isRejected = (request: TestRequest) => request.retryAfterMs !== undefined;
    const dispatchOften = () => Array.from({ length: 20 }, () => queue.dispatch());
    dispatchOften();
    assert.equal(retries.filter(isRejected).length, 0);
    upstreams.length = 1;
    dispatchOften();
    assert.equal(retries.filter(isRejected).length, 0, "slots could still become free twice as fast as expected");
    upstreams[0]!.slots = 1;
    dispatchOften();
    assert.equal(clock.nowMs(), 0);
    assert.equal(retries.filter(isRejected).length, 8);
    assert.equal(backlog.filter(isRejected).length, 0);
});

// Load pattern: a heavy team's requests wait at all gateways, and none of another team does.
test("waiting requests at peers count up to the fair share of their teams", () => {
    const { loadTracker, submit } = setUpBacklog();
    loadTracker.apply({
        instanceName: "peer" as InstanceName,
        startedAtMs: 0,
        sequence: 1,
        isKeyValueReachable: true,
        counts: [],
        ejected: [],
        waiting: [{ service: SERVICE, count: 500 }],
        configurationRevision: 0,
        upstreamsRevision: 0,
        jobsRevision: 0,
        leader: undefined,
        teamUsage: { counts: [], levels: [], areLevelsComplete: false },
        upstreamUsage: { counts: [], limits: [] },
        leaving: [],
    }, 0);
    assert.equal(submit({ team: quiet }).retryAfterMs, undefined);
    assert.notEqual(submit({ team: heavy }).retryAfterMs, undefined);
});
