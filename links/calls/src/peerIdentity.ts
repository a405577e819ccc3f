import type { Incarnation } from "@knapweedwood/core.ids/incarnation";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { RegionName } from "@knapweedwood/core.ids/regionName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";

/** Identity that a process sends in the handshake of a link. */
export interface PeerIdentity {
    instanceId: InstanceId;
    /** Increases with each start of the process, which distinguishes a new process at an old address. */
    incarnation: Incarnation;
    kind: "entry" | "side";
    zone: ZoneName;
    region: RegionName;
}
