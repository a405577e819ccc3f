import type { DistributedConfiguration } from "@knapweedwood/config.distribution/distributedConfiguration";
import type { WebSocketLinkEndpoint } from "@knapweedwood/links.endpoint/webSocketLinkEndpoint";
import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";

/** A simulated process that follows the configuration. It shares an operating-system process with others. */
export interface FleetMember {
    endpoint: WebSocketLinkEndpoint;
    record: InstanceRecord;
    configuration: DistributedConfiguration;
}
