import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import type { Incarnation } from "@knapweedwood/core.ids/incarnation";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { RegionName } from "@knapweedwood/core.ids/regionName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import { WebSocketLinkEndpoint } from "@knapweedwood/links.endpoint/webSocketLinkEndpoint";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { silentMetrics } from "@knapweedwood/observability.metrics/silentMetrics";

/** Creates the link endpoint of one fleet member on the loopback interface, without logs and metrics. */
export function createBenchEndpoint(name: string, kind: "entry" | "side"): WebSocketLinkEndpoint {
    return new WebSocketLinkEndpoint({
        identity: {
            instanceId: name as InstanceId,
            incarnation: 1 as Incarnation,
            kind,
            zone: "a" as ZoneName,
            region: "bench" as RegionName,
        },
        clock: new SystemClock(),
        host: "127.0.0.1",
        port: 0,
        logger: silentLogger,
        metrics: silentMetrics,
    });
}
