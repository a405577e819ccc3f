import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { Link } from "@knapweedwood/links.calls/link";
import { singleFrame } from "@knapweedwood/links.calls/singleFrame";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createTestEndpoint } from "./createTestEndpoint.js";
import { testCertificates } from "./testCertificates.js";

const echoCall = defineCall<{ text: string; }, { text: string; }>("test.echo");
const { first, second } = testCertificates;
const MAX_ATTEMPTS = 30;
const limits = { openTimeoutMs: 300 };

test("links run over mutual TLS", async context => {
    const server = createTestEndpoint(context, "server", { tls: first });
    const client = createTestEndpoint(context, "client", { tls: first });
    server.handle(echoCall, async function*(request) {
        yield request;
    });
    const link = client.connect(await server.listen());
    assert.deepEqual(await singleFrame(link.call(echoCall, { text: "hello" })), { text: "hello" });
});

test("a peer without a trusted certificate is rejected, and accepted once certificates are reloaded", async context => {
    const server = createTestEndpoint(context, "server", { tls: first });
    server.handle(echoCall, async function*(request) {
        yield request;
    });
    const address = await server.listen();
    const untrustedClient = createTestEndpoint(context, "untrusted", {
        tls: { ...second, authorities: first.authorities },
        limits,
    });
    await assert.rejects(singleFrame(untrustedClient.connect(address).call(echoCall, { text: "hello" })), {
        outcome: "not-run",
    });
    server.reloadTls(second);
    untrustedClient.reloadTls(second);
    assert.deepEqual(await callUntilSuccessful(() => untrustedClient.connect(address)), { text: "hello" });
});

/** Retries a call until it succeeds, because it fails if no connection opens in time, as on a busy machine. */
async function callUntilSuccessful(connect: () => Link): Promise<{ text: string; }> {
    for (let attempt = 1;; attempt += 1) {
        try {
            return await singleFrame(connect().call(echoCall, { text: "hello" }));
        }
        catch (error) {
            if (attempt === MAX_ATTEMPTS) {
                throw error;
            }
        }
    }
}

test("an endpoint with TLS rejects a connection without TLS", async context => {
    const server = createTestEndpoint(context, "server", { tls: first });
    const client = createTestEndpoint(context, "client", { limits });
    const address = await server.listen();
    await assert.rejects(singleFrame(client.connect(address).call(echoCall, { text: "hello" })), {
        outcome: "not-run",
    });
});
