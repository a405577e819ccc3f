import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type IncomingMessage, request as httpRequest } from "node:http";
import { after, before, test } from "node:test";
import { ServiceServer } from "../src/serviceServer.js";

let baseUrl = "";
let exits = 0;
const server = new ServiceServer({ clock: new SystemClock(), onExit: () => exits += 1 });

before(async () => {
    baseUrl = `http://127.0.0.1:${await server.listen({ host: "127.0.0.1", port: 0 })}`;
});

after(() => server.close());

function callsWith(marker: string) {
    return server.callRecords.filter(record => record.marker === marker);
}

test("a call is echoed and recorded", async () => {
    const response = await fetch(`${baseUrl}/orders?x=1`, {
        method: "PUT",
        headers: { "idempotency-key": "key-1", "x-marker": "echo" },
        body: "plates",
    });
    const echo = await response.json() as { method: string; path: string; body: string; };
    assert.deepEqual([echo.method, echo.path, echo.body], ["PUT", "/orders?x=1", "plates"]);
    const { calls } = await (await fetch(`${baseUrl}/__record`)).json() as { calls: typeof server.callRecords; };
    assert.deepEqual(
        calls.filter(call => call.marker === "echo").map(call => [call.idempotencyKey, call.bodySizeBytes]),
        [["key-1", 6]],
    );
});

test("a call whose response is lost ran once, and a rejected call did not run", async () => {
    server.applyFaults({ loseAnswers: 1 });
    await assert.rejects(fetch(`${baseUrl}/`, { method: "POST", headers: { "x-marker": "lost" }, body: "x" }));
    assert.deepEqual(callsWith("lost").map(call => call.isAnswered), [false]);
    server.applyFaults({ refusals: 1 });
    const rejected = await fetch(`${baseUrl}/`, { method: "POST", headers: { "x-marker": "refused" }, body: "x" });
    assert.equal(rejected.status, 503);
    assert.deepEqual(callsWith("refused"), []);
});

test("an error response and an exit happen after the call has run", async () => {
    server.applyFaults({ errors: 1 });
    const response = await fetch(`${baseUrl}/`, { headers: { "x-marker": "error" } });
    assert.equal(response.status, 500);
    assert.equal(callsWith("error").length, 1);
    server.applyFaults({ dieAfterNextCall: true });
    const controller = new AbortController();
    const unanswered = fetch(`${baseUrl}/`, { headers: { "x-marker": "death" }, signal: controller.signal });
    while (exits === 0) {
        await new Promise(resolve => setImmediate(resolve));
    }
    controller.abort();
    await assert.rejects(unanswered);
    server.applyFaults({ dieAfterNextCall: false });
    assert.equal(callsWith("death").length, 1);
});

test("a body is streamed back while it is still being sent", async () => {
    const request = httpRequest(`${baseUrl}/stream`, { method: "POST" });
    request.flushHeaders();
    const [response] = await once(request, "response") as [IncomingMessage];
    request.write("first");
    assert.equal(String((await once(response, "data"))[0]), "first");
    request.write("second");
    assert.equal(String((await once(response, "data"))[0]), "second");
    request.end();
    await once(response, "end");
});
