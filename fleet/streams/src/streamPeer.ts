import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import type { HostPort } from "@knapweedwood/fleet.view/hostPort";

/** A process that keeps origins of streams for others. */
export interface StreamPeer {
    instanceName: InstanceName;
    zone: ZoneName;
    /** Address for messages about streams. */
    address: HostPort;
    /** Whether the process was heard of a short time ago. */
    isLive: boolean;
    /** Whether the process is a runner, which keeps running when all gateways end at once. */
    isRunner: boolean;
}
