import assert from "node:assert/strict";
import { test } from "node:test";
import { forwardableHeaders } from "../src/forwardableHeaders.js";

test("hop-by-hop fields and fields listed by Connection are dropped", () => {
    const raw = [
        "Host",
        "a",
        "Connection",
        "close, X-Once",
        "X-Once",
        "1",
        "X-Kept",
        "2",
        "Transfer-Encoding",
        "chunked",
    ];
    assert.deepEqual(forwardableHeaders(raw, { drop: ["host"] }), [{ name: "x-kept", value: "2" }]);
});
