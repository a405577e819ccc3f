import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import type { HostPort } from "@knapweedwood/fleet.view/hostPort";

/** A process that load reports are exchanged with. */
export interface LoadPeer {
    instanceName: InstanceName;
    zone: ZoneName;
    /** Address for load reports. */
    address: HostPort;
    /** Whether it places requests or items by load, and so needs all reports soon. */
    placesByLoad: boolean;
    /** Whether it relays reports before others do. */
    isPreferredRelay: boolean;
}
