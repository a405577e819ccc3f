import type { IdempotencyKey } from "@knapweedwood/core.ids/idempotencyKey";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import assert from "node:assert/strict";
import { test } from "node:test";
import { defaultSimulationOptions } from "../src/defaultSimulationOptions.js";
import { Fleet } from "../src/fleet.js";
import { upstreamResponse } from "../src/upstreamResponse.js";

const teamId = "team-a" as TeamId;
const endpoint = "/v1/chat/completions";

test("a job runs to its end and its results are in item order", async () => {
    const fleet = new Fleet({ seed: 1, options: defaultSimulationOptions });
    await fleet.advance(5000);
    const [entry, other] = fleet.entries;
    const bodies = Array.from({ length: 60 }, (_, index) => ({
        model: "demo",
        text: `item ${index}`,
        behaviour: index === 7 ? "reject" : index === 13 ? "fail" : index === 20 ? "crash" : "answer",
    }));
    const lines = bodies.map((body, index) =>
        `${JSON.stringify({ custom_id: `c${index}`, method: "POST", url: endpoint, body })}\n`
    );
    const file = await entry.batchService.createFile({
        teamId,
        fileName: "a.jsonl",
        purpose: "batch",
        content: (async function*() {
            yield* lines.map(line => Buffer.from(line));
        })(),
    });
    const idempotencyKey = "key" as IdempotencyKey;
    const request = { teamId, inputFileId: file.fileId, endpoint, metadata: {}, idempotencyKey, dueMs: 600_000 };
    const job = await entry.batchService.createJob(request);
    assert.equal((await other.batchService.createJob(request)).jobId, job.jobId);
    let stepCount = 0;
    let current = job;
    while (current.state !== "completed" && stepCount++ < 20) {
        await fleet.advance(10_000);
        current = await other.batchService.getJob({ teamId, jobId: job.jobId });
    }
    assert.equal(current.state, "completed");
    assert.deepEqual(current.itemCounts, { total: 60, completed: 57, failed: 3 });
    assert.ok(current.outputFileId);
    const chunks: Uint8Array[] = [];
    for await (const chunk of other.batchService.readFile({ teamId, fileId: current.outputFileId })) {
        chunks.push(chunk);
    }
    const output = Buffer.concat(chunks).toString("utf8").trimEnd().split("\n").map(line => JSON.parse(line));
    const expected = bodies.flatMap((body, index) => body.behaviour === "answer" ? [{ index, body }] : []);
    assert.deepEqual(output.map(line => line.custom_id), expected.map(({ index }) => `c${index}`));
    assert.deepEqual(output.map(line => line.response.body), expected.map(({ body }) => upstreamResponse(body)));
});
