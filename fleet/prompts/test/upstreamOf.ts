import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";

/** Creates a ready upstream with `slots` slots for tests. */
export function upstreamOf(id: string, slots = 2): Upstream {
    return {
        id: id as UpstreamId,
        service: "s" as ServiceName,
        address: { host: "h", port: 1 },
        zone: "z" as ZoneName,
        softwareVersion: "v1" as SoftwareVersion,
        slots,
        state: "ready",
        startedAtMs: 1,
    };
}
