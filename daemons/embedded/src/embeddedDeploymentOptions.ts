import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { Metrics } from "@knapweedwood/observability.metrics/metrics";
import type { Tracer } from "@knapweedwood/observability.traces/tracer";
import type { EngineServerOptions } from "@knapweedwood/standins.engine/engineServerOptions";

/** Size, services and observability of an embedded deployment. */
export interface EmbeddedDeploymentOptions {
    entryCount: number;
    engineCount: number;
    serviceCount: number;
    /** HTTP port of the first entry; 0 for any free port. */
    port: number;
    seed: number;
    /** Key of the first platform operator. */
    operatorKey: string;
    /** Name of the service that the engines serve. */
    engineService: string;
    /** Name of the service that the plain upstreams serve. */
    plainService: string;
    engine: Omit<EngineServerOptions, "clock" | "seed">;
    logger: Logger;
    metrics: Metrics;
    tracer: Tracer;
}
