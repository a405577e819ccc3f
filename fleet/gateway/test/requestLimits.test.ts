// Requests over the limit of their team took places in the queue, and requests that were rejected there used up the limit.
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { Team } from "@knapweedwood/fleet.view/team";
import assert from "node:assert/strict";
import type { ServerResponse } from "node:http";
import { test } from "node:test";
import { GatewayTestBed } from "./gatewayTestBed.js";
import { UpstreamStandin } from "./upstreamStandin.js";

const team: Team = {
    id: "team" as TeamId,
    keys: ["secret"],
    priority: undefined,
    requestsPerSecond: 0.1,
    burst: 2,
};

const answer = (_request: unknown, response: ServerResponse) => {
    response.writeHead(200, { "x-proof": "p" });
    response.end();
};

/** Sends eight requests, one after the other, and returns the responses. */
async function sendEight(opts: { isAnonymous?: boolean; hasUpstream: boolean; }) {
    const standin = new UpstreamStandin(answer);
    const upstream = await standin.listen("u");
    const route = { isAnonymous: opts.isAnonymous ?? false };
    const testBed = new GatewayTestBed({ upstreams: opts.hasUpstream ? [upstream] : [], route, teams: [team] });
    await testBed.listen();
    try {
        const headers = { "x-key": "secret", "x-remaining": "300" };
        return await Array.from({ length: 8 }).reduce<Promise<Awaited<ReturnType<GatewayTestBed["send"]>>[]>>(
            async previous => [...await previous, await testBed.send({ headers })],
            Promise.resolve([]),
        );
    }
    finally {
        testBed.close();
        standin.close();
    }
}

test("requests over the limit get 429, with a retry time within the time that their caller has left", async () => {
    const responses = await sendEight({ hasUpstream: true });
    const limited = responses.filter(({ statusCode }) => statusCode === 429);
    // The burst, and the tolerance of one request.
    assert.deepEqual(responses.slice(0, 3).map(({ statusCode }) => statusCode), [200, 200, 200]);
    assert.equal(limited.length, 5);
    assert.ok(limited.every(({ headers }) => Number(headers["retry-after"]) > 0));
    assert.ok(limited.every(({ headers }) => Number(headers["retry-after"]) <= 0.1));
});

test("requests that end without having run return their places", async () => {
    const responses = await sendEight({ hasUpstream: false });
    assert.deepEqual([...new Set(responses.map(({ statusCode }) => statusCode))], [503]);
});

test("requests on anonymous routes are not limited", async () => {
    const responses = await sendEight({ hasUpstream: true, isAnonymous: true });
    assert.deepEqual([...new Set(responses.map(({ statusCode }) => statusCode))], [200]);
});
