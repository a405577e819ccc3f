import type { EntrySettings } from "@knapweedwood/config.settings/entrySettings";
import type { Clock } from "@knapweedwood/core.clock/clock";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { Random } from "@knapweedwood/core.random/random";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { Metrics } from "@knapweedwood/observability.metrics/metrics";
import type { Tracer } from "@knapweedwood/observability.traces/tracer";
import type { InstanceList } from "@knapweedwood/routing.instance-list/instanceList";

/** Settings and services that an entry process needs. */
export interface EntryProcessOptions {
    settings: EntrySettings;
    clock: Clock;
    random: Random;
    logger: Logger;
    metrics: Metrics;
    tracer: Tracer;
    keyValue: KeyValueService;
    instanceList: InstanceList;
}
