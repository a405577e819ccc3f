import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { Metrics } from "@knapweedwood/observability.metrics/metrics";
import type { Tracer } from "@knapweedwood/observability.traces/tracer";

/** Logger, metrics and tracer of a process. */
export interface Telemetry {
    logger: Logger;
    metrics: Metrics;
    tracer: Tracer;
}
