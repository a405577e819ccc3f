import type { BatchService } from "@knapweedwood/batch.jobs/batchService";
import type { ConfigurationSource } from "@knapweedwood/config.configuration/configurationSource";
import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { Metrics } from "@knapweedwood/observability.metrics/metrics";
import type { Tracer } from "@knapweedwood/observability.traces/tracer";
import type { CallAdmission } from "./callAdmission.js";
import type { IdempotentCalls } from "./idempotentCalls.js";
import type { InferenceBackend } from "./inferenceBackend.js";

/** Dependencies and limits of the callers' API. */
export interface CallersApiOptions {
    configuration: ConfigurationSource;
    backend: InferenceBackend;
    batches: BatchService;
    admission: CallAdmission;
    idempotentCalls: IdempotentCalls;
    clock: Clock;
    logger: Logger;
    metrics: Metrics;
    tracer: Tracer;
    maxBodyBytes: number;
    maxFileBytes: number;
}
