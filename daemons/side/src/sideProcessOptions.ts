import type { SideSettings } from "@knapweedwood/config.settings/sideSettings";
import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Random } from "@knapweedwood/core.random/random";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { Metrics } from "@knapweedwood/observability.metrics/metrics";
import type { Tracer } from "@knapweedwood/observability.traces/tracer";
import type { InstanceList } from "@knapweedwood/routing.instance-list/instanceList";

/** Settings and services that a side process needs. */
export interface SideProcessOptions {
    settings: SideSettings;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
    tracer: Tracer;
    instanceList: InstanceList;
}
