import assert from "node:assert/strict";
import { test } from "node:test";
import { validateInput } from "../src/validateInput.js";

const endpoint = "/v1/chat/completions";
const line = (customId: string) => JSON.stringify({ custom_id: customId, method: "POST", url: endpoint, body: {} });

async function* linesOf(lines: string[]): AsyncIterable<string> {
    yield* lines;
}

test("each invalid line is reported with its number and error code", async () => {
    const wrongUrl = JSON.stringify({ custom_id: "d", method: "POST", url: "/v1/other", body: {} });
    const report = await validateInput(linesOf([line("a"), "{ not json", line("b"), line("a"), wrongUrl]), endpoint);
    assert.equal(report.itemCount, 5);
    assert.deepEqual(report.errors.map(error => [error.line, error.code]), [
        [2, "invalid_json_line"],
        [4, "duplicate_custom_id"],
        [5, "mismatched_url"],
    ]);
});

test("an empty file is rejected", async () => {
    const report = await validateInput(linesOf([]), endpoint);
    assert.deepEqual(report.errors.map(error => error.code), ["empty_file"]);
});
