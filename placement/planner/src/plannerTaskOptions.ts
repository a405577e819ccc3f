import type { ConfigurationSource } from "@knapweedwood/config.configuration/configurationSource";
import type { Clock } from "@knapweedwood/core.clock/clock";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";
import type { RoleDemand } from "./roleDemand.js";

/** What a {@link PlannerRole} works with. */
export interface PlannerTaskOptions {
    keyValue: KeyValueService;
    clock: Clock;
    configuration: ConfigurationSource;
    /** The instance list, as last read. */
    instances: () => InstanceRecord[];
    /** Work that waits for each role; none where roles are not split. */
    demands: () => RoleDemand[];
    endpoint: LinkEndpoint;
    logger: Logger;
    /** Loads that the weight store's rate allows at once in the region. */
    maxConcurrentLoads: number;
}
