import type { Incarnation } from "@knapweedwood/core.ids/incarnation";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { RegionName } from "@knapweedwood/core.ids/regionName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";

/** Returns the identity of a process for tests. */
export function testIdentity(name: string, incarnation = 1): PeerIdentity {
    return {
        instanceId: name as InstanceId,
        incarnation: incarnation as Incarnation,
        kind: "side",
        zone: "zone-a" as ZoneName,
        region: "region" as RegionName,
    };
}
