// A header that can't be read must neither lift a limit nor stop all requests.
import assert from "node:assert/strict";
import { test } from "node:test";
import { parseRequestRate } from "../src/parseRequestRate.js";

test("reads decimal numbers only", () => {
    const texts = ["2.5", " 3 ", "0", "-1", "1e3", "NaN", "Infinity", "", "2,5", "9".repeat(400)];
    assert.deepEqual(texts.map(parseRequestRate), [2.5, 3, 0, ...Array.from({ length: 7 }, () => undefined)]);
});
