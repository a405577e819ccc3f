import type { ActiveRevisionResponse } from "./activeRevisionResponse.js";
import type { FleetResponse } from "./fleetResponse.js";
import { formatTable } from "./formatTable.js";

/** Formats the fleet and the active revision as lines of text, shape [lines]. */
export function formatFleet(fleet: FleetResponse, active: ActiveRevisionResponse): string[] {
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
    const missing = active.missing.length === 0 ? "" : `; missing: ${active.missing.join(", ")}`;
    return [
        formatTable(["INSTANCE", "KIND", "ZONE", "STATE", "LINK", "SERVICE"], instances),
        "",
        formatTable(
            ["UPSTREAM", "SERVICE", "STATE", "MODELS", "ONLINE", "WAITING", "BATCH", "HELD"],
            upstreams,
        ),
        "",
        `Configuration revision ${active.revision} in force on ${active.reached} of ${active.total}${missing}`,
    ];
}
