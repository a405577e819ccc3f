// A caller that reads slowly pauses the response of its upstream. When the connection of a response without a length ended
// meanwhile, an assertion of the HTTP client failed and the process ended.
import assert from "node:assert/strict";
import { test } from "node:test";
import { receiveResponse } from "./receiveResponse.js";

const UNKNOWN_LENGTH_HEAD = "HTTP/1.1 200 OK\r\n\r\n";
const PAUSED_MS = 60;
/** One that a single read returns, and one that has to be read in parts. */
const BODIES = ["id: 1\ndata: a\n\n", "x".repeat(300_000)];

test("a response whose connection is closed while it is paused is received to its end", async () => {
    for (const body of BODIES) {
        const sent = UNKNOWN_LENGTH_HEAD + body;
        const { end, bodyBytes } = await receiveResponse({ sent, ending: "close", pausedMs: PAUSED_MS });
        assert.deepEqual([end, bodyBytes], ["close", body.length]);
    }
});

test("a response whose connection is reset while it is paused is broken", async () => {
    for (const ending of ["reset", "late-reset", "close-and-reset"] as const) {
        const sent = `${UNKNOWN_LENGTH_HEAD}id: 1\ndata: a\n\n`;
        const { end, isConnectionBroken } = await receiveResponse({ sent, ending, pausedMs: PAUSED_MS });
        assert.deepEqual([end, isConnectionBroken], ["ECONNRESET", true], ending);
    }
});

test("a paused response with a length is complete once it is read, though its connection was reset", async () => {
    const body = "x".repeat(30_000);
    const sent = `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
    for (const ending of ["close", "reset"] as const) {
        const { end, bodyBytes } = await receiveResponse({ sent, ending, pausedMs: PAUSED_MS });
        assert.deepEqual([end, bodyBytes], ["length", body.length], ending);
    }
});
