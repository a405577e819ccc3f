// A request that failed was counted as if the upstream had read and kept its prompt.
import type { PromptPartId } from "@knapweedwood/core.ids/promptPartId";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import { silentMetrics } from "@knapweedwood/observability.metrics/silentMetrics";
import assert from "node:assert/strict";
import { test } from "node:test";
import { GatewayTestBed } from "./gatewayTestBed.js";
import { UpstreamStandin } from "./upstreamStandin.js";

test("a prompt counts as kept once a response to it has begun, and requests without one aren't counted", async () => {
    const kept: unknown[] = [];
    const counted: string[] = [];
    const record = (event: string, fields?: { [field: string]: unknown; }) => {
        if (event === "call-placed") {
            kept.push(fields!["promptTokensKept"]);
        }
    };
    const logger: Logger = { debug: record, info: record, warn: record, error: record, child: () => logger };
    const standin = new UpstreamStandin((_request, response) => {
        response.writeHead(standin.requests.length === 1 ? 500 : 200, { "x-proof": "p" });
        response.end("done");
    });
    const testBed = new GatewayTestBed({
        upstreams: [await standin.listen("u", "v1")],
        route: {},
        logger,
        metrics: {
            ...silentMetrics,
            increment: (name, tags, count) =>
                void (name === "prompt_tokens_total" ? counted.push(`${tags!["outcome"]} ${count}`) : undefined),
        },
        decodePromptParts: value => value === undefined ? [] : [{ id: value as PromptPartId, tokens: 70 }],
    });
    await testBed.listen();
    for (const parts of ["a", "a", "a", undefined]) {
        await testBed.send({ headers: parts === undefined ? {} : { "x-parts": parts } });
    }
    testBed.close();
    standin.close();
    assert.deepEqual(kept, [0, 0, 70, undefined]);
    assert.deepEqual(counted, ["kept 0", "read 70", "kept 0", "read 70", "kept 70", "read 0"]);
});
