import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { Limits } from "./limits.js";
import type { ModelDefinition } from "./modelDefinition.js";

/** A service, as its service file defines it. */
export interface ServiceDefinition {
    name: ServiceName;
    /** The team that owns the service. */
    team: TeamId;
    kind: "model-engine" | "plain";
    models: ModelDefinition[];
    roles: ("any" | "prefill" | "decode")[];
    /** Upstreams that hold the models; undefined means all of the service. */
    replicas?: number;
    /** Whether a call may be run a second time after an unknown outcome. */
    repeatable: boolean;
    /** Whether the upstreams refuse orders with an old fencing number. */
    checksFencing: boolean;
    limits: Limits;
    /** Longest time that an online call may take. */
    deadlineMs: number;
    /** When batch jobs are due, counted from acceptance, unless the job says otherwise. */
    batchDueMs: number;
    /** Share in [0, 1] of the step-time objective that batch work may use: 0 favours online latency, 1 batch throughput. */
    batchBalance: number;
    /** Step time that keeps the gap between tokens within the objective. */
    tokenGapObjectiveMs: number;
    /** Teams that may call the service; undefined means all. */
    callableBy?: TeamId[];
}
