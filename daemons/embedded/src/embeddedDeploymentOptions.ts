import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { Metrics } from "@knapweedwood/observability.metrics/metrics";
import type { Tracer } from "@knapweedwood/observability.traces/tracer";
import type { EngineServerOptions } from "@knapweedwood/standins.engine/engineServerOptions";

/** Size and parts of an embedded deployment. */
export interface EmbeddedDeploymentOptions {
    entryCount: number;
    engineCount: number;
    serviceCount: number;
    /** Port of the first entry; 0 for any. */
    port: number;
    seed: number;
    /** Key of the first platform operator. */
    operatorKey: string;
    /** The service that the engines belong to. */
    engineService: string;
    /** The service that the plain upstreams belong to. */
    plainService: string;
    engine: Omit<EngineServerOptions, "clock" | "seed">;
    logger: Logger;
    metrics: Metrics;
    tracer: Tracer;
}
