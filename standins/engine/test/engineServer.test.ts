import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import type { FencingNumber } from "@knapweedwood/core.ids/fencingNumber";
import type { ModelName } from "@knapweedwood/core.ids/modelName";
import type { ModelVersion } from "@knapweedwood/core.ids/modelVersion";
import type { RequestId } from "@knapweedwood/core.ids/requestId";
import { CompletionAssembler } from "@knapweedwood/engines.model-engine/completionAssembler";
import type { GenerateRequest } from "@knapweedwood/engines.model-engine/generateRequest";
import { HttpModelEngine } from "@knapweedwood/engines.model-engine/httpModelEngine";
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { EngineServer } from "../src/engineServer.js";
import { expectedText } from "../src/expectedText.js";

const server = new EngineServer({
    clock: new SystemClock(),
    seed: 1,
    models: [{ model: "demo-chat", version: "1" }],
    checksFencing: true,
    unhealthyVersions: ["bad"],
    loadDurationMs: 1,
    stepModel: { fixedMs: 1, perSequenceMs: 0, loadLagMs: 0 },
});
let baseUrl: string;
let engine: HttpModelEngine;

before(async () => {
    baseUrl = `http://127.0.0.1:${await server.listen({ host: "127.0.0.1", port: 0 })}`;
    engine = new HttpModelEngine({ baseUrl });
});

after(async () => {
    await engine.close();
    await server.close();
});

function chatRequest(content: string, opts: { maxTokens?: number; marker?: string; } = {}): GenerateRequest {
    const body = {
        model: "demo-chat",
        messages: [{ role: "user", content }],
        max_tokens: opts.maxTokens,
        user: opts.marker,
    };
    return { endpoint: "/v1/chat/completions", body };
}

async function generate(request: GenerateRequest, signal = new AbortController().signal) {
    const assembler = new CompletionAssembler({ request, answerId: "test", createdAtMs: 0 });
    for await (const event of engine.generate(request, { signal })) {
        assembler.add(event);
    }
    return assembler;
}

async function codeOf(promise: Promise<unknown>): Promise<unknown> {
    return promise.then(
        () => "no error",
        (thrown: { code: string; outcome: string; }) => [thrown.code, thrown.outcome],
    );
}

test("a stream contains the text that the prompt determines, and the usage", async () => {
    const request = chatRequest("Summarise lot 7", { maxTokens: 12 });
    const assembler = await generate(request);
    assert.equal(assembler.produced.text, expectedText(request));
    const response = assembler.response() as { choices: { finish_reason: string; }[]; usage: object; };
    assert.equal(response.choices[0]?.finish_reason, "length");
    assert.deepEqual(response.usage, {
        prompt_tokens: 6,
        completion_tokens: 12,
        total_tokens: 18,
        prompt_tokens_details: { cached_tokens: 0 },
    });
});

test("a resumed stream continues where the first one was cut", async () => {
    const request = chatRequest("Summarise lot 8", { maxTokens: 20 });
    const resumeFrom = { text: expectedText({ ...request, tokenCount: 9 }), tokenCount: 9 };
    const assembler = await generate({ ...request, resumeFrom });
    assert.equal(assembler.produced.text, expectedText(request));
    assert.equal(assembler.produced.tokenCount, 20);
});

test("aborting a stream cancels its request at the engine", async () => {
    const abort = new AbortController();
    const request = chatRequest("A long one", { maxTokens: 100_000, marker: "aborted" });
    const stream = engine.generate(request, { signal: abort.signal })[Symbol.asyncIterator]();
    await stream.next();
    abort.abort();
    assert.deepEqual(await codeOf(stream.next()), ["ERR_KNAPWEED_CANCELLED", "unknown"]);
    while ((await engine.load()).runningSequences > 0) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    const record = await (await fetch(`${baseUrl}/__record`)).json() as { aborted: object; };
    assert.deepEqual(record.aborted, { started: 1, finished: 0, cancelled: 1 });
});

test("malformed, failing and crashing prompts cause different errors", async () => {
    assert.deepEqual(await codeOf(generate(chatRequest("[malformed]"))), ["ERR_KNAPWEED_ENGINE_REFUSED", "answered"]);
    assert.deepEqual(await codeOf(generate(chatRequest("[never-completes]"))), [
        "ERR_KNAPWEED_ENGINE_FAILED",
        "unknown",
    ]);
    assert.deepEqual(await codeOf(generate(chatRequest("[crash]"))), [
        "ERR_KNAPWEED_ENGINE_CONNECTION_LOST",
        "unknown",
    ]);
});

test("a request to an unreachable engine has the outcome not-run", async () => {
    const unreachable = new HttpModelEngine({ baseUrl: "http://127.0.0.1:1" });
    assert.deepEqual(await codeOf(unreachable.load()), ["ERR_KNAPWEED_ENGINE_UNREACHABLE", "not-run"]);
    await unreachable.close();
});

test("orders are executed, stale fencing numbers rejected, and unhealthy versions fail to load", async () => {
    const load = (version: string, fencingNumber: number) =>
        engine.order({
            fencingNumber: fencingNumber as FencingNumber,
            action: { kind: "load-model", model: "other" as ModelName, version: version as ModelVersion },
        });
    await load("2", 5);
    await load("bad", 5);
    assert.deepEqual(await codeOf(load("3", 4)), ["ERR_KNAPWEED_ENGINE_ORDER_STALE", "not-run"]);
    while ((await engine.state()).models.some(({ state }) => state === "loading")) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    const states = (await engine.state()).models.map(({ version, state }) => [version, state]);
    assert.deepEqual(states, [["1", "ready"], ["2", "ready"], ["bad", "failed"]]);
    assert.deepEqual(await engine.listModels(), ["demo-chat", "other"]);
});

test("an imported KV cache makes its prefix available without a prefill", async () => {
    const request = { ...chatRequest("Lot ".repeat(100), { maxTokens: 4 }), requestId: "export-1" as RequestId };
    await generate(request);
    const cache = await engine.exportCache("export-1");
    const target = new EngineServer({
        clock: new SystemClock(),
        seed: 2,
        models: [],
        checksFencing: false,
    });
    const port = await target.listen({ host: "127.0.0.1", port: 0 });
    const targetEngine = new HttpModelEngine({ baseUrl: `http://127.0.0.1:${port}` });
    await targetEngine.importCache(cache);
    assert.ok(target.core.prefixCache.matchTokens(`user: ${"Lot ".repeat(100)}\n`) >= 96);
    await targetEngine.close();
    await target.close();
});

test("silenced connections stay open and send nothing, and new ones work", async () => {
    const abort = new AbortController();
    const stream = engine.generate(chatRequest("To be silenced", { maxTokens: 100_000 }), { signal: abort.signal });
    const iterator = stream[Symbol.asyncIterator]();
    await iterator.next();
    server.applyFaults({ silentConnections: true });
    const silent = iterator.next();
    const fresh = new HttpModelEngine({ baseUrl });
    assert.ok((await fresh.listModels()).includes("demo-chat"));
    abort.abort();
    await silent.catch(() => undefined);
    await fresh.close();
});
