// A response without a length that was reset counted as complete, so that a part of a list was taken for all of it.
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import type { ConnectionEnding } from "@knapweedwood/standins.http/connectionEnding";
import { EndingServer } from "@knapweedwood/standins.http/endingServer";
import assert from "node:assert/strict";
import { test } from "node:test";
import { PlatformHttpClient } from "../src/platformHttpClient.js";

const HEAD = "HTTP/1.1 200 OK\r\n\r\n";

async function call(ending: ConnectionEnding): Promise<string> {
    const server = new EndingServer({ sent: `${HEAD}[1, 2]`, ending });
    const client = new PlatformHttpClient({
        clock: new SystemClock(),
        baseUrl: `http://127.0.0.1:${await server.listen()}`,
    });
    try {
        const { body } = await client.call({ method: "GET", path: "/", timeoutMs: 2000, repeatable: false });
        return body.toString();
    }
    finally {
        await client.close();
        server.close();
    }
}

test("a response of a platform service that is reset isn't complete", async () => {
    for (const ending of ["reset", "late-reset", "close-and-reset"] as const) {
        await assert.rejects(call(ending), { code: "ERR_KNAPWEED_PLATFORM_CALL_FAILED", outcome: "unknown" }, ending);
    }
    assert.equal(await call("close"), "[1, 2]");
});
