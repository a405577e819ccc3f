import type { BatchSource } from "@knapweedwood/batch.items/batchSource";
import type { Clock } from "@knapweedwood/core.clock/clock";
import type { ModelEngine } from "@knapweedwood/engines.model-engine/modelEngine";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { Metrics } from "@knapweedwood/observability.metrics/metrics";
import type { AdmissionPolicy } from "./admissionPolicy.js";
import type { BatchItemRunner } from "./batchItemRunner.js";
import type { GateObjective } from "./gateObjective.js";

/** Options of a gate. */
export interface GateOptions {
    engine: ModelEngine;
    clock: Clock;
    logger: Logger;
    metrics: Metrics;
    /** Online-first by default. */
    policy?: AdmissionPolicy;
    /** Source of batch items. Without one, the gate runs no batch work. */
    batchSource?: BatchSource;
    /** Runs batch items that are not generations. By default, only embeddings are supported. */
    itemRunner?: BatchItemRunner;
    objective?: GateObjective;
    /** Maximum number of waiting online calls. */
    maxOnlineWaiting?: number;
}
