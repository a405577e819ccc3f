// A reader that pauses kept up to 64 kB in parts of one byte, each of which costs some hundred bytes.
import { HttpConnection } from "@knapweedwood/core.http-connections/httpConnection";
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { PassThrough } from "node:stream";
import { test } from "node:test";

const PARTS = 5000;
const MAX_KEPT_PARTS = 100;

test("few parts are kept for a reader that has paused, and all of them arrive once it goes on", async () => {
    const socket = new PassThrough({ readableObjectMode: true });
    const connection = new HttpConnection(socket as unknown as Socket);
    Array.from({ length: PARTS }).forEach(() => socket.push(Buffer.from("x")));
    await new Promise(setImmediate);
    assert.ok(connection.readableLength <= MAX_KEPT_PARTS, `${connection.readableLength} parts are kept`);
    let received = 0;
    connection.on("data", (chunk: Buffer) => received += chunk.length);
    for (let turns = 0; received < PARTS && turns < PARTS; turns += 1) {
        await new Promise(setImmediate);
    }
    assert.equal(received, PARTS);
});
