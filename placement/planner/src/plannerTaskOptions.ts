import type { ConfigurationSource } from "@knapweedwood/config.configuration/configurationSource";
import type { Clock } from "@knapweedwood/core.clock/clock";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";
import type { RoleDemand } from "./roleDemand.js";

/** Options of a {@link PlannerTask}. */
export interface PlannerTaskOptions {
    keyValue: KeyValueService;
    clock: Clock;
    configuration: ConfigurationSource;
    /** Returns the instance list as last read; shape [instances]. */
    instances: () => InstanceRecord[];
    /** Returns the pending work for each role; empty if roles are not split. */
    demands: () => RoleDemand[];
    endpoint: LinkEndpoint;
    logger: Logger;
    /** Maximum number of concurrent loads in the region, as allowed by the weight store's rate. */
    maxConcurrentLoads: number;
}
