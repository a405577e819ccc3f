import type { DistributedConfiguration } from "@knapweedwood/config.distribution/distributedConfiguration";
import type { WebSocketLinkEndpoint } from "@knapweedwood/links.endpoint/webSocketLinkEndpoint";
import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";

/** A fleet member that follows the configuration. It runs in this process, without a daemon. */
export interface FleetMember {
    endpoint: WebSocketLinkEndpoint;
    record: InstanceRecord;
    configuration: DistributedConfiguration;
}
