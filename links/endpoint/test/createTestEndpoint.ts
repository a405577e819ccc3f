import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { silentMetrics } from "@knapweedwood/observability.metrics/silentMetrics";
import type { TestContext } from "node:test";
import { WebSocketLinkEndpoint } from "../src/webSocketLinkEndpoint.js";
import type { WebSocketLinkEndpointOptions } from "../src/webSocketLinkEndpointOptions.js";
import { testIdentity } from "./testIdentity.js";

/** Creates an endpoint on loopback that is closed when its test ends. */
export function createTestEndpoint(
    context: TestContext,
    name: string,
    opts: Partial<WebSocketLinkEndpointOptions> = {},
): WebSocketLinkEndpoint {
    const endpoint = new WebSocketLinkEndpoint({
        identity: testIdentity(name),
        clock: new SystemClock(),
        host: "127.0.0.1",
        port: 0,
        logger: silentLogger,
        metrics: silentMetrics,
        ...opts,
    });
    context.after(() => endpoint.close(0));
    return endpoint;
}
