import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { Limits } from "./limits.js";
import type { ModelDefinition } from "./modelDefinition.js";

/** Definition of a service from its service file. */
export interface ServiceDefinition {
    name: ServiceName;
    /** The team that owns the service. */
    team: TeamId;
    kind: "model-engine" | "plain";
    models: ModelDefinition[];
    roles: ("any" | "prefill" | "decode")[];
    /** Number of upstreams that load the models. Undefined means all upstreams of the service. */
    replicas?: number;
    /** Whether a call may be run again after an unknown outcome. */
    repeatable: boolean;
    /** Whether the upstreams reject orders that carry an outdated fencing number. */
    checksFencing: boolean;
    limits: Limits;
    /** Maximum duration of an online call. */
    deadlineMs: number;
    /** Time from the acceptance of a batch job until it is due, unless the job sets its own due time. */
    batchDueMs: number;
    /**
     * Share of the step-time objective that batch work may use, in [0, 1]. 0 favours online latency, 1 favours batch
     * throughput.
     */
    batchBalance: number;
    /** Target step time, in ms, that keeps the gap between tokens within the objective. */
    tokenGapObjectiveMs: number;
    /** Teams that may call the service. Undefined means all teams. */
    callableBy?: TeamId[];
}
