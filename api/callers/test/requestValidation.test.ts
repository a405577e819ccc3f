import assert from "node:assert/strict";
import { test } from "node:test";
import { checkGenerateBody } from "../src/checkGenerateBody.js";
import { parseDuration } from "../src/parseDuration.js";

const CHAT = { model: "m", messages: [{ role: "user", content: "hello" }] };

test("valid bodies are accepted, including null parameters and unknown fields", () => {
    checkGenerateBody("/v1/chat/completions", { ...CHAT, temperature: 0.2, max_tokens: null });
    checkGenerateBody("/v1/completions", { model: "m", prompt: "hello", stream: true });
});

test("an invalid body is rejected with the name of the parameter", () => {
    const assertInvalid = (body: { [field: string]: unknown; }, parameter: string) =>
        assert.throws(() => checkGenerateBody("/v1/chat/completions", body), {
            code: "ERR_KNAPWEED_REQUEST_INVALID",
            parameter,
            outcome: "not-run",
        });
    assertInvalid({ ...CHAT, max_tokens: 0 }, "max_tokens");
    assertInvalid({ ...CHAT, messages: "hello" }, "messages");
    assertInvalid({ ...CHAT, n: 2 }, "n");
    assertInvalid({ ...CHAT, stream: "yes" }, "stream");
});

test("durations are parsed with their unit and rejected without one", () => {
    assert.equal(parseDuration("24h"), 86_400_000);
    assert.equal(parseDuration("90s"), 90_000);
    assert.equal(parseDuration(undefined), undefined);
    assert.throws(() => parseDuration("soon"), { code: "ERR_KNAPWEED_REQUEST_INVALID" });
});
