// A gateway that has not received the newest configuration answered 404 for a route that the operators had added. Callers
// don't repeat a request after 404.
import assert from "node:assert/strict";
import { test } from "node:test";
import { GatewayTestBed } from "./gatewayTestBed.js";

async function statusOfUnknownRoute(isConfigurationCurrent: boolean) {
    const testBed = new GatewayTestBed({ upstreams: [], route: {}, isConfigurationCurrent });
    await testBed.listen();
    try {
        const { statusCode, headers } = await testBed.send({ path: "/unknown/x" });
        return { statusCode, hasRetryAfter: headers["retry-after"] !== undefined };
    }
    finally {
        testBed.close();
    }
}

test("a request without a route is rejected as not run while the configuration may be outdated", async () => {
    assert.deepEqual(await statusOfUnknownRoute(false), { statusCode: 503, hasRetryAfter: true });
});

test("a request without a route is answered with 404 by the current configuration", async () => {
    assert.deepEqual(await statusOfUnknownRoute(true), { statusCode: 404, hasRetryAfter: false });
});
