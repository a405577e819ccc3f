// An engine that ended while it sent an exported cache reset the connection. The part that had arrived was imported
// elsewhere as the whole cache.
import { EndingServer } from "@knapweedwood/standins.http/endingServer";
import assert from "node:assert/strict";
import { test } from "node:test";
import { HttpModelEngine } from "../src/httpModelEngine.js";

test("an exported cache whose response was reset isn't returned", async () => {
    for (const ending of ["reset", "late-reset", "close-and-reset"] as const) {
        const server = new EndingServer({ sent: "HTTP/1.1 200 OK\r\n\r\nhalf", ending });
        const engine = new HttpModelEngine({ baseUrl: `http://127.0.0.1:${await server.listen()}` });
        const lost = { code: "ERR_KNAPWEED_ENGINE_CONNECTION_LOST", outcome: "unknown" };
        await assert.rejects(engine.exportCache("request"), lost, ending);
        await engine.close();
        server.close();
    }
});
