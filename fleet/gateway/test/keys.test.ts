// A key that is written to a log or sent to an upstream can be used by whoever reads it there. A caller that gets 401 for a
// new key, since a gateway doesn't know it yet, never tries again.
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import { silentMetrics } from "@knapweedwood/observability.metrics/silentMetrics";
import assert from "node:assert/strict";
import { test } from "node:test";
import { GatewayTestBed } from "./gatewayTestBed.js";
import { UpstreamStandin } from "./upstreamStandin.js";

const KEY = "secret-known";

/** Sends requests with the keys, undefined for none, to a gateway with one team. */
async function send(keys: (string | undefined)[], opts: { isConfigurationCurrent: boolean; failing?: boolean; }) {
    const lines: string[] = [];
    const metrics: string[] = [];
    const write = (event: string, fields?: object) => void lines.push(JSON.stringify({ event, ...fields }));
    const logger: Logger = { debug: write, info: write, warn: write, error: write, child: () => logger };
    const standin = new UpstreamStandin((_request, response) => {
        if (opts.failing === true) {
            response.destroy();
            return;
        }
        response.writeHead(200, { "x-proof": "p" });
        response.end("done");
    });
    const upstream = await standin.listen("u", "v1");
    const testBed = new GatewayTestBed({
        upstreams: [upstream],
        route: {},
        isConfigurationCurrent: opts.isConfigurationCurrent,
        teams: [{ id: "t" as TeamId, keys: [KEY], priority: undefined, requestsPerSecond: undefined, burst: 0 }],
        logger,
        metrics: { ...silentMetrics, increment: (name, tags) => void metrics.push(`${name} ${JSON.stringify(tags)}`) },
    });
    await testBed.listen();
    try {
        const responses = [];
        for (const key of keys) {
            responses.push(await testBed.send({ headers: key === undefined ? {} : { "x-key": key } }));
        }
        return { responses, lines, metrics, received: standin.requests.map(request => request.headers) };
    }
    finally {
        testBed.close();
        standin.close();
    }
}

test("an unknown or missing key gets 401 only from a gateway that is certain of its configuration", async () => {
    const current = await send([KEY, "secret-other", undefined], { isConfigurationCurrent: true });
    assert.deepEqual(current.responses.map(({ statusCode }) => statusCode), [200, 401, 401]);
    const outdated = await send([KEY, "secret-other", undefined], { isConfigurationCurrent: false });
    assert.deepEqual(outdated.responses.map(({ statusCode }) => statusCode), [200, 503, 503]);
    assert.ok(outdated.responses.slice(1).every(({ headers }) => Number(headers["retry-after"]) > 0));
    assert.equal(current.metrics.filter(metric => metric.startsWith("calls_unknown_key_total")).length, 2);
});

test("no key reaches an upstream, a line of the log, a metric or an error that a caller sees", async () => {
    const keys = [KEY, "secret-other", `${KEY}, secret-other`];
    const runs = [
        await send(keys, { isConfigurationCurrent: true }),
        await send(keys, { isConfigurationCurrent: false }),
        await send(keys, { isConfigurationCurrent: true, failing: true }),
    ];
    assert.equal(runs[0]!.received[0]?.["x-team"], "t");
    runs.forEach(({ responses, lines, metrics, received }) => {
        assert.ok(lines.length > 0);
        assert.doesNotMatch(JSON.stringify([responses, lines, metrics, received]), /secret/u);
    });
});
