import type { Incarnation } from "@knapweedwood/core.ids/incarnation";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { RegionName } from "@knapweedwood/core.ids/regionName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";

/** What a process says of itself in a link's handshake. */
export interface PeerIdentity {
    instanceId: InstanceId;
    /** Grows with each start of the process, so that a new process at an old address is told apart. */
    incarnation: Incarnation;
    kind: "entry" | "side";
    zone: ZoneName;
    region: RegionName;
}
