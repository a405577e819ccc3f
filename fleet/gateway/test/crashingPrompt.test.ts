// Requests with one part in their prompts ended upstream after upstream, since each was sent on like any other.
import assert from "node:assert/strict";
import { test } from "node:test";
import { GatewayTestBed } from "./gatewayTestBed.js";
import { UpstreamStandin } from "./upstreamStandin.js";

const UPSTREAMS = 20;
const REQUESTS = 20;
/** From the rule: five ends, and three more requests. */
const MAX_CRASHES = 8;
const SOUND = "first:100,middle:100,own:50";
const CRASHING = "first:100,bad:100,own:50";

/** Creates an upstream that ends while it answers a prompt with the bad part. */
function createStandin(): UpstreamStandin {
    const standin = new UpstreamStandin((request, response) => {
        if (String(request.headers["x-parts"]).includes("bad")) {
            standin.close();
            return;
        }
        response.writeHead(200, { "x-proof": "p" });
        response.end("id: 1\ndata: a\n\n");
    });
    return standin;
}

test("requests with a prompt part that crashes upstreams are rejected, and sound ones with their other parts served", async () => {
    const standins = Array.from({ length: UPSTREAMS }, createStandin);
    const upstreams = await Promise.all(standins.map((standin, index) => standin.listen(`u-${index}`)));
    const testBed = new GatewayTestBed({ upstreams, route: { kind: "stream" } });
    await testBed.listen();
    const send = async (id: string, parts: string) => {
        const received = await testBed.send({ headers: { "x-request-id": id, "x-parts": parts } });
        return received.statusCode;
    };
    const sound: number[] = [];
    const crashing: number[] = [];
    for (let index = 0; index < REQUESTS; index += 1) {
        crashing.push(await send(`bad-${index}`, CRASHING));
        sound.push(await send(`sound-${index}`, SOUND));
    }
    testBed.close();
    standins.forEach(standin => standin.close());
    const crashes = standins.flatMap(({ requests }) => requests).filter(({ headers }) =>
        headers["x-parts"] === CRASHING
    );
    assert.ok(crashes.length <= MAX_CRASHES, `${crashes.length} requests with the part reached upstreams`);
    assert.equal(crashing.at(-1), 503, "a request that didn't run is rejected as such");
    assert.deepEqual(sound.slice(-5), [200, 200, 200, 200, 200]);
});

// Each request with the part was repeated at other upstreams, and only its own repeats were convicted.
test("a prompt part that crashes upstreams is found though each request with it is repeated", async () => {
    const standins = Array.from({ length: UPSTREAMS }, createStandin);
    const upstreams = await Promise.all(standins.map((standin, index) => standin.listen(`u-${index}`)));
    const testBed = new GatewayTestBed({ upstreams, route: { kind: "stream", isResumable: true, maxAttempts: 3 } });
    await testBed.listen();
    const send = async (body: string, parts: string) => {
        const received = await testBed.send({ body, headers: { "x-request-id": body, "x-parts": parts } });
        return received.statusCode;
    };
    await send("sound", SOUND);
    for (let index = 0; index < REQUESTS; index += 1) {
        await send(`bad-${index}`, CRASHING);
    }
    const last = [await send("bad-last", CRASHING), await send("sound-last", SOUND)];
    testBed.close();
    standins.forEach(standin => standin.close());
    const crashes = standins.flatMap(({ requests }) => requests).filter(({ headers }) =>
        headers["x-parts"] === CRASHING
    );
    assert.ok(crashes.length <= MAX_CRASHES, `${crashes.length} requests with the part reached upstreams`);
    assert.deepEqual(last, [503, 200]);
});
