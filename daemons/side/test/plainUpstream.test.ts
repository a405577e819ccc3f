// The response of a plain service, without a length, was broken off by a reset, and entries received it as complete.
import type { PlainCallRequest } from "@knapweedwood/daemons.inference/plainCallRequest";
import type { ConnectionEnding } from "@knapweedwood/standins.http/connectionEnding";
import { EndingServer } from "@knapweedwood/standins.http/endingServer";
import assert from "node:assert/strict";
import { test } from "node:test";
import { PlainUpstream } from "../src/plainUpstream.js";

const HEAD = "HTTP/1.1 200 OK\r\n\r\n";
const LARGE_BODY = "x".repeat(300_000);
const READ_PAUSE_MS = 5;

/** Returns the size of the body that a call yields, of which each part is read slowly. */
async function call(sent: string, ending: ConnectionEnding): Promise<number> {
    const server = new EndingServer({ sent, ending });
    const upstream = new PlainUpstream({ url: `http://127.0.0.1:${await server.listen()}` });
    const request = { method: "GET", path: "/", headers: [] } as unknown as PlainCallRequest;
    let sizeBytes = 0;
    try {
        for await (const frame of upstream.call(request, { body: undefined, signal: new AbortController().signal })) {
            sizeBytes += frame.kind === "body" ? frame.bytes.length : 0;
            await new Promise(resolve => setTimeout(resolve, READ_PAUSE_MS));
        }
    }
    finally {
        await upstream.close();
        server.close();
    }
    return sizeBytes;
}

test("a response of a plain service that is reset has been cut", async () => {
    for (const body of ["", "half", LARGE_BODY]) {
        for (const ending of ["reset", "late-reset"] as const) {
            await assert.rejects(
                call(HEAD + body, ending),
                { code: "ERR_KNAPWEED_UPSTREAM_CUT" },
                `${body.length} bytes, ${ending}`,
            );
        }
    }
});

test("a response of a plain service without a length is read slowly to its end", async () => {
    assert.equal(await call(HEAD + LARGE_BODY, "close"), LARGE_BODY.length);
});
