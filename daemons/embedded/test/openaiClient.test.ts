import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { silentTracer } from "@knapweedwood/observability.traces/silentTracer";
import { expectedText } from "@knapweedwood/standins.engine/expectedText";
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import OpenAI, { toFile } from "openai";
import { DemoDeployment } from "../src/demoDeployment.js";

const KEY = "test-key";
const MAX_TOKENS = 6;
const POLL_MS = 100;
const demo = new DemoDeployment({ port: 0, seed: 1, operatorKey: KEY, logger: silentLogger, tracer: silentTracer });
let client: OpenAI;

before(async () => {
    await demo.start();
    client = new OpenAI({ apiKey: KEY, baseURL: `${demo.deployment.url(0)}/v1`, maxRetries: 0 });
});

after(() => demo.stop());

const messages = [{ role: "user" as const, content: "Which release is mine?" }];
const chat = { model: "demo-chat", messages, max_tokens: MAX_TOKENS };
const expectedChat = expectedText({ endpoint: "/v1/chat/completions", body: chat, tokenCount: MAX_TOKENS });

test("a chat completion returns the complete response to its own prompt", async () => {
    const response = await client.chat.completions.create(chat);
    assert.equal(response.choices[0]?.message.content, expectedChat);
    assert.equal(response.choices[0]?.finish_reason, "length");
    assert.equal(response.usage?.completion_tokens, MAX_TOKENS);
});

test("a streamed chat completion yields the same text, and its usage", async () => {
    const stream = await client.chat.completions.create({
        ...chat,
        stream: true,
        stream_options: { include_usage: true },
    });
    const chunks = [];
    for await (const chunk of stream) {
        chunks.push(chunk);
    }
    assert.equal(chunks.map(chunk => chunk.choices[0]?.delta.content ?? "").join(""), expectedChat);
    assert.equal(chunks.at(-1)?.usage?.completion_tokens, MAX_TOKENS);
    assert.equal(chunks.filter(chunk => chunk.choices[0]?.finish_reason === "length").length, 1);
});

test("a text completion, an embedding and the list of models are returned", async () => {
    const prompt = "Plate status:";
    const body = { model: "demo-chat", prompt, max_tokens: MAX_TOKENS };
    const completion = await client.completions.create(body);
    const expected = expectedText({ endpoint: "/v1/completions", body, tokenCount: MAX_TOKENS });
    assert.equal(completion.choices[0]?.text, expected);
    const embedding = await client.embeddings.create({ model: "demo-chat", input: "a lot", encoding_format: "float" });
    assert.ok((embedding.data[0]?.embedding.length ?? 0) > 0);
    const models = await client.models.list();
    assert.deepEqual(models.data.map(model => model.id), ["demo-chat"]);
});

test("a batch job runs from upload to output and error files", async () => {
    const items = [
        ...Array.from({ length: 5 }, (_, index) => ({ id: `good-${index}`, content: `lot ${index}` })),
        { id: "bad", content: "[never-completes] lot" },
    ];
    const lines = items.map(({ id, content }) =>
        JSON.stringify({
            custom_id: id,
            method: "POST",
            url: "/v1/chat/completions",
            body: { model: "demo-chat", messages: [{ role: "user", content }], max_tokens: MAX_TOKENS, user: id },
        })
    );
    const file = await client.files.create({
        purpose: "batch",
        file: await toFile(Buffer.from(`${lines.join("\n")}\n`), "items.jsonl"),
    });
    const created = await client.batches.create({
        input_file_id: file.id,
        endpoint: "/v1/chat/completions",
        completion_window: "24h",
        metadata: { lot: "7" },
    });
    const batch = await finished(created.id);
    assert.deepEqual(batch.request_counts, { total: 6, completed: 5, failed: 1 });
    assert.deepEqual(batch.metadata, { lot: "7" });
    const output = await linesOf(batch.output_file_id);
    assert.deepEqual(
        output.map(line => line.custom_id),
        ["good-0", "good-1", "good-2", "good-3", "good-4"],
    );
    const errors = await linesOf(batch.error_file_id);
    assert.deepEqual(errors.map(line => line.custom_id), ["bad"]);
    const listed = await client.batches.list();
    assert.ok(listed.data.some(candidate => candidate.id === created.id));
});

test("a wrong key, an unknown model and an invalid body are rejected with their error codes", async () => {
    const unauthorized = new OpenAI({ apiKey: "wrong", baseURL: `${demo.deployment.url(0)}/v1`, maxRetries: 0 });
    await assert.rejects(unauthorized.models.list(), { status: 401, code: "ERR_KNAPWEED_KEY_UNKNOWN" });
    const unknown = client.chat.completions.create({ ...chat, model: "none" });
    await assert.rejects(unknown, { status: 404, code: "ERR_KNAPWEED_MODEL_UNKNOWN" });
    const empty = client.chat.completions.create({ ...chat, messages: [] });
    await assert.rejects(empty, { status: 400, code: "ERR_KNAPWEED_REQUEST_INVALID", param: "messages" });
});

async function finished(batchId: string): Promise<OpenAI.Batch> {
    for (;;) {
        const batch = await client.batches.retrieve(batchId);
        if (batch.status === "completed" || batch.status === "failed") {
            return batch;
        }
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
}

async function linesOf(fileId: string | undefined): Promise<{ custom_id: string; }[]> {
    assert.ok(fileId !== undefined);
    const content = await client.files.content(fileId);
    const text = await content.text();
    return text.split("\n").filter(line => line !== "").map(line => JSON.parse(line) as { custom_id: string; });
}
