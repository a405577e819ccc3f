// An engine may send a line of its stream, or a body, that never ends. All of it was kept in memory, and the line was
// read again from its start with each chunk.
import { EndlessServer } from "@knapweedwood/standins.http/endlessServer";
import assert from "node:assert/strict";
import { test } from "node:test";
import { HttpModelEngine } from "../src/httpModelEngine.js";
import { ServerSentEventReader } from "../src/serverSentEventReader.js";

const TEST_TIMEOUT_MS = 60_000;
const KIB = 1024;
const HEAD = "HTTP/1.1 200 OK\r\n\r\n";

async function withEndless(first: string, action: (engine: HttpModelEngine) => Promise<unknown>): Promise<void> {
    const server = new EndlessServer({ first, repeated: "x".repeat(KIB) });
    const engine = new HttpModelEngine({ baseUrl: `http://127.0.0.1:${await server.listen()}` });
    await action(engine);
    await server.whenEnded();
    assert.equal(server.unboundedCount, 0, "a connection was read on for 64 MB");
    await engine.close();
    server.close();
}

async function generate(engine: HttpModelEngine): Promise<void> {
    const request = { endpoint: "/v1/completions", body: {} } as never;
    for await (const _event of engine.generate(request, { signal: new AbortController().signal })) {
        // Reads to the end.
    }
}

test("a stream with a line without end fails and closes its connection", { timeout: TEST_TIMEOUT_MS }, async () => {
    await withEndless(`${HEAD}data: `, async engine => {
        await assert.rejects(generate(engine), { code: "ERR_KNAPWEED_ENGINE_LINE_TOO_LONG", outcome: "unknown" });
    });
    await withEndless(`${HEAD}data: `, async engine => {
        const events = engine.cacheEvents({ signal: new AbortController().signal });
        await assert.rejects(events.next(), { code: "ERR_KNAPWEED_ENGINE_LINE_TOO_LONG" });
    });
});

test("a large event passes, however it is cut", () => {
    const data = `${"x".repeat(KIB * KIB - KIB)}\u00e9`;
    const bytes = Buffer.from(`: comment\n\ndata: ${data}\n\ndata: next\n`);
    [1, 7, KIB, bytes.length].forEach(partBytes => {
        const reader = new ServerSentEventReader();
        const events = Array.from({ length: Math.ceil(bytes.length / partBytes) }, (_, index) => index * partBytes)
            .flatMap(start => reader.read(bytes.subarray(start, start + partBytes)));
        assert.ok(events.length === 2 && events[0] === data && events[1] === "next");
    });
});
