// An upstream whose only slot ran a batch item rejected online requests as not run. The gateway passed that on, although the item
// was about to end, and its count at the upstream fell back before the leader had seen it (review/14).
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { GatewayTestBed } from "./gatewayTestBed.js";
import { UpstreamStandin } from "./upstreamStandin.js";

const RELEASE_MS = 60;
/** Number of the last report of the process that runs items. */
let sequence = 0;

/** Creates an upstream of one slot that rejects requests while an item has the slot, and a gateway before it. */
async function createBusyUpstream(context: TestContext, route: { maxAttempts: number; timeoutMs: number; }) {
    const state = { isTaken: true };
    const standin = new UpstreamStandin((_, response) => {
        const [statusCode, headers, body] = state.isTaken
            ? [503, { "x-not-run": "1" }, ""] as const
            : [200, { "x-proof": "p" }, "ok"] as const;
        response.writeHead(statusCode, headers).end(body);
    });
    const upstream: Upstream = { ...await standin.listen("u"), slots: 1 };
    const bed = new GatewayTestBed({ upstreams: [upstream], route });
    await bed.listen();
    context.after(() => {
        bed.close();
        standin.close();
    });
    const reportRuns = (batch: number) => {
        sequence += 1;
        bed.loadTracker.apply({
            instanceName: "runner" as InstanceName,
            startedAtMs: 1,
            sequence,
            isKeyValueReachable: true,
            counts: batch === 0 ? [] : [{ upstreamId: upstream.id, online: 0, batch }],
            ejected: [],
            waiting: [],
            configurationRevision: 0,
            jobsRevision: 0,
            upstreamsRevision: 0,
            leader: undefined,
            teamUsage: { counts: [], levels: [], areLevelsComplete: false },
            upstreamUsage: { counts: [], limits: [] },
            leaving: [],
        }, performance.now());
    };
    /** Ends the item as soon as the leader can see a request at the upstream. */
    const displace = async () => {
        while (bed.loadTracker.onlineCount(upstream.id) === 0) {
            await sleep(1);
        }
        await sleep(RELEASE_MS);
        state.isTaken = false;
        reportRuns(0);
    };
    return { standin, upstream, bed, state, reportRuns, displace };
}

test("a request that is rejected because of an item is sent again when the item has ended", async context => {
    const { standin, bed, upstream, reportRuns, displace } = await createBusyUpstream(context, {
        maxAttempts: 1,
        timeoutMs: 2000,
    });
    reportRuns(1);
    const [response] = await Promise.all([bed.send(), displace()]);
    assert.equal(response.statusCode, 200);
    assert.equal(standin.requests.length, 2);
    assert.equal(bed.loadTracker.onlineCount(upstream.id), 0);
});

test("a request that an upstream without items rejects is rejected", async context => {
    const { standin, bed, upstream } = await createBusyUpstream(context, { maxAttempts: 3, timeoutMs: 2000 });
    assert.equal((await bed.send()).statusCode, 503);
    assert.equal(standin.requests.length, 1);
    assert.equal(bed.loadTracker.onlineCount(upstream.id), 0);
});

test("a request whose time is up before the item has ended is rejected as not run", async context => {
    const { bed, upstream, reportRuns } = await createBusyUpstream(context, { maxAttempts: 1, timeoutMs: 2000 });
    reportRuns(1);
    const response = await bed.send({ headers: { "x-remaining": "200" } });
    assert.equal(response.statusCode, 503);
    assert.equal(bed.loadTracker.onlineCount(upstream.id), 0);
});

// The process that ran the item was killed. Its last report counted for 1.5 s, while the upstream had been free at once.
test("a request is sent again before the reports show the end of an item", async context => {
    const { standin, bed, state, reportRuns } = await createBusyUpstream(context, { maxAttempts: 1, timeoutMs: 2000 });
    reportRuns(1);
    const answer = bed.send();
    await sleep(RELEASE_MS);
    state.isTaken = false;
    assert.equal((await answer).statusCode, 200);
    assert.equal(standin.requests.length, 2);
});

test("a caller that leaves while its request waits for an item gives its place up", async context => {
    const { bed, upstream, reportRuns } = await createBusyUpstream(context, { maxAttempts: 1, timeoutMs: 2000 });
    reportRuns(1);
    const request = bed.open();
    while (bed.loadTracker.onlineCount(upstream.id) === 0) {
        await sleep(1);
    }
    await sleep(RELEASE_MS);
    assert.equal(bed.loadTracker.onlineCount(upstream.id), 1, "the leader sees the request");
    request.destroy();
    while (bed.loadTracker.onlineCount(upstream.id) > 0) {
        await sleep(1);
    }
});
