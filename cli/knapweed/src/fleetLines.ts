import type { FleetAnswer } from "./fleetAnswer.js";
import { formatTable } from "./formatTable.js";
import type { InForceAnswer } from "./inForceAnswer.js";

/** The fleet as lines of text, shape [lines]. */
export function fleetLines(fleet: FleetAnswer, inForce: InForceAnswer): string[] {
    const instances = fleet.instances.map(instance => [
        instance.instanceId,
        instance.kind,
        instance.zone,
        instance.state,
        instance.linkState,
        instance.service,
    ]);
    const upstreams = fleet.upstreams.map(upstream => [
        upstream.instanceId,
        upstream.service,
        upstream.isHealthy ? upstream.state : "unhealthy",
        upstream.models.join(","),
        upstream.onlineRunning,
        upstream.onlineQueued,
        upstream.batchRunning,
        upstream.batchQueued,
    ]);
    const missing = inForce.missing.length === 0 ? "" : `; missing: ${inForce.missing.join(", ")}`;
    return [
        formatTable(["INSTANCE", "KIND", "ZONE", "STATE", "LINK", "SERVICE"], instances),
        "",
        formatTable(
            ["UPSTREAM", "SERVICE", "STATE", "MODELS", "ONLINE", "WAITING", "BATCH", "HELD"],
            upstreams,
        ),
        "",
        `Configuration revision ${inForce.revision} in force on ${inForce.reached} of ${inForce.total}${missing}`,
    ];
}
