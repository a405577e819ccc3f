import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";

/** A process of the fleet, as it announces itself. */
export interface MemberRecord {
    instanceName: InstanceName;
    role: "gateway" | "runner";
    zone: ZoneName;
    host: string;
    /** UDP port for load reports. */
    loadPort: number;
    /** TCP port for links. */
    linkPort: number;
    /** Start of the process, Unix ms. */
    startedAtMs: number;
}
