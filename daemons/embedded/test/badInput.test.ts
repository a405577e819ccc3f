import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { silentTracer } from "@knapweedwood/observability.traces/silentTracer";
import assert from "node:assert/strict";
import { connect } from "node:net";
import { after, before, test } from "node:test";
import { DemoDeployment } from "../src/demoDeployment.js";

const KEY = "test-key";
const HUGE_BODY_BYTES = 50 * 1024 * 1024;
const CHUNK_BYTES = 1024 * 1024;
const POLL_MS = 50;
const demo = new DemoDeployment({ port: 0, seed: 1, operatorKey: KEY, logger: silentLogger, tracer: silentTracer });
const headers = { "authorization": `Bearer ${KEY}`, "content-type": "application/json" };

before(() => demo.start());
after(() => demo.stop());

interface ErrorBody {
    error: { code: string; param: string | null; };
}

async function post(path: string, body: string): Promise<{ status: number; outcome: string | null; code: string; }> {
    const response = await fetch(`${demo.deployment.url()}${path}`, { method: "POST", headers, body });
    const parsed = await response.json() as ErrorBody;
    return { status: response.status, outcome: response.headers.get("x-knapweed-outcome"), code: parsed.error.code };
}

test("a body that is not a JSON object is rejected with outcome not-run", async () => {
    const rejected = { status: 400, outcome: "not-run", code: "ERR_KNAPWEED_BODY_NOT_JSON" };
    assert.deepEqual(await post("/v1/chat/completions", '{"model":'), rejected);
    assert.deepEqual(await post("/v1/chat/completions", "[1]"), rejected);
});

test("a body of 50 MB is rejected before it is read completely", async () => {
    const response = await new Promise<string>((resolve, reject) => {
        const port = Number(new URL(demo.deployment.url()).port);
        const socket = connect(port, "127.0.0.1", () => {
            socket.write(
                `POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ${KEY}\r\n`
                    + `Content-Length: ${HUGE_BODY_BYTES}\r\n\r\n`,
            );
            socket.write("x".repeat(CHUNK_BYTES));
        });
        socket.once("data", data => {
            resolve(data.toString("utf8"));
            socket.destroy();
        });
        socket.once("error", reject);
    });
    assert.match(response, /^HTTP\/1\.1 413 /u);
    assert.match(response, /ERR_KNAPWEED_BODY_TOO_LARGE/u);
});

test("a malformed line and a duplicate custom_id fail the job, and the errors give their line numbers", async () => {
    const line = (id: string) =>
        JSON.stringify({ custom_id: id, method: "POST", url: "/v1/chat/completions", body: { model: "demo-chat" } });
    const job = await finishedJob([line("a"), "{oops", line("a")].join("\n"));
    assert.equal(job.status, "failed");
    assert.deepEqual(job.errors?.data.map(error => error.line), [2, 3]);
});

test("the engine's work is cancelled when the caller disconnects during a stream", async () => {
    const caller = new AbortController();
    const response = await fetch(`${demo.deployment.url()}/v1/chat/completions`, {
        method: "POST",
        headers,
        signal: caller.signal,
        body: JSON.stringify({
            model: "demo-chat",
            messages: [{ role: "user", content: "a long story" }],
            max_tokens: 4000,
            stream: true,
            user: "disconnects",
        }),
    });
    const reader = response.body?.getReader();
    await reader?.read();
    caller.abort();
    await until(async () => (await engineCounts("disconnects")).cancelled === 1);
    assert.equal((await engineCounts("disconnects")).finished, 0);
});

interface Job {
    id: string;
    status: string;
    errors?: { data: { line: number; }[]; };
}

async function finishedJob(content: string): Promise<Job> {
    const form = new FormData();
    form.set("purpose", "batch");
    form.set("file", new Blob([content]), "items.jsonl");
    const authorization = { authorization: `Bearer ${KEY}` };
    const url = demo.deployment.url();
    const upload = await fetch(`${url}/v1/files`, { method: "POST", headers: authorization, body: form });
    const file = await upload.json() as { id: string; };
    const body = JSON.stringify({ input_file_id: file.id, endpoint: "/v1/chat/completions" });
    const created = await (await fetch(`${url}/v1/batches`, { method: "POST", headers, body })).json() as Job;
    let job = created;
    await until(async () => {
        job = await (await fetch(`${url}/v1/batches/${created.id}`, { headers: authorization })).json() as Job;
        return ["failed", "completed"].includes(job.status);
    });
    return job;
}

async function engineCounts(marker: string): Promise<{ finished: number; cancelled: number; }> {
    const counts = { finished: 0, cancelled: 0 };
    for (const port of demo.deployment.enginePorts) {
        const record = await (await fetch(`http://127.0.0.1:${port}/__record`)).json() as {
            [marker: string]: { finished: number; cancelled: number; };
        };
        counts.finished += record[marker]?.finished ?? 0;
        counts.cancelled += record[marker]?.cancelled ?? 0;
    }
    return counts;
}

async function until(condition: () => Promise<boolean>): Promise<void> {
    while (!await condition()) {
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
}
