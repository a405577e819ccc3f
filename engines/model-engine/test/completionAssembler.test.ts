import assert from "node:assert/strict";
import { test } from "node:test";
import { CompletionAssembler } from "../src/completionAssembler.js";
import type { GenerateRequest } from "../src/generateRequest.js";
import type { JsonObject } from "../src/jsonObject.js";

function assembler(endpoint: GenerateRequest["endpoint"]): CompletionAssembler {
    const request = { endpoint, body: { model: "demo-chat" } };
    return new CompletionAssembler({ request, answerId: "1", createdAtMs: 2000 });
}

const usage = { promptTokens: 3, completionTokens: 2, cachedTokens: 0 };

(["/v1/chat/completions", "/v1/completions"] as const).forEach(endpoint => {
    test(`${endpoint}: plain text gives the same chunks and response as the engine's full choice objects`, () => {
        const textOnly = assembler(endpoint);
        const fullChoices = assembler(endpoint);
        ["one", " two"].forEach(text => {
            const choice: JsonObject = { index: 0, delta: { content: text }, finish_reason: null };
            assert.deepEqual(
                textOnly.add({ kind: "chunk", text, tokenCount: 1 }),
                fullChoices.add({ kind: "chunk", text, tokenCount: 1, choice }),
            );
        });
        assert.deepEqual(
            textOnly.add({ kind: "finish", finishReason: "stop", usage }),
            fullChoices.add({ kind: "finish", finishReason: "stop", usage }),
        );
        assert.deepEqual(textOnly.response(), fullChoices.response());
        assert.deepEqual(textOnly.produced, { text: "one two", tokenCount: 2 });
    });
});

test("only the first chunk of a chat contains the role", () => {
    const chat = assembler("/v1/chat/completions");
    const deltas = ["a", "b"].map(text => {
        const [chunk] = chat.add({ kind: "chunk", text, tokenCount: 1 });
        return (chunk?.choices as { delta: JsonObject; }[])[0]?.delta;
    });
    assert.deepEqual(deltas, [{ role: "assistant", content: "a" }, { content: "b" }]);
});
