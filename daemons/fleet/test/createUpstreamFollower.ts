import { LoadTracker } from "@knapweedwood/fleet.load/loadTracker";
import { UpstreamHealth } from "@knapweedwood/fleet.load/upstreamHealth";
import { UpstreamSpeeds } from "@knapweedwood/fleet.load/upstreamSpeeds";
import { UpstreamConnections } from "@knapweedwood/fleet.upstreams/upstreamConnections";
import type { Metrics } from "@knapweedwood/observability.metrics/metrics";
import { silentMetrics } from "@knapweedwood/observability.metrics/silentMetrics";
import type { FollowerContext } from "../src/followerContext.js";
import { UpstreamFollower } from "../src/upstreamFollower.js";

/** Creates a follower of the upstreams for tests, of a process that reaches the key-value service. */
export function createUpstreamFollower(
    context: FollowerContext & { maxAgeMs?: () => number; metrics?: Metrics; },
): UpstreamFollower {
    return new UpstreamFollower({
        metrics: silentMetrics,
        ...context,
        loadTracker: new LoadTracker(),
        health: new UpstreamHealth(),
        speeds: new UpstreamSpeeds({ clock: context.clock }),
        connections: new UpstreamConnections(),
        drainMs: () => 1000,
        isKeyValueReachable: () => true,
        onChanged: () => undefined,
    });
}
