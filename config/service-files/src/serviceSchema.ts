import { z } from "zod";
import { limitsSchema } from "./limitsSchema.js";
import { nameSchema } from "./nameSchema.js";

const DEFAULT_DEADLINE_MS = 60_000;
const DEFAULT_BATCH_DUE_MS = 86_400_000;
const DEFAULT_BATCH_BALANCE = 0.5;
const DEFAULT_TOKEN_GAP_OBJECTIVE_MS = 63;

const adapterSchema = z.strictObject({ name: nameSchema, version: nameSchema });

const modelSchema = z.strictObject({
    name: nameSchema,
    version: nameSchema,
    adapters: z.array(adapterSchema).default([]),
});

/** Schema of a service in a service file. */
export const serviceSchema = z.strictObject({
    name: nameSchema,
    team: nameSchema.describe("The team that owns the service"),
    kind: z.enum(["model-engine", "plain"]),
    models: z.array(modelSchema).default([]),
    roles: z.array(z.enum(["any", "prefill", "decode"])).min(1).default(["any"]),
    replicas: z.int().nonnegative().optional().describe(
        "Number of upstreams that load the models. Default: all upstreams of the service",
    ),
    repeatable: z.boolean().default(false).describe("Whether a call may run again after an unknown outcome"),
    checksFencing: z.boolean().default(false).describe(
        "Whether the upstreams reject orders with an outdated fencing number",
    ),
    limits: limitsSchema.default({}),
    deadlineMs: z.int().positive().default(DEFAULT_DEADLINE_MS),
    batchDueMs: z.int().positive().default(DEFAULT_BATCH_DUE_MS),
    batchBalance: z.number().min(0).max(1).default(DEFAULT_BATCH_BALANCE)
        .describe("0 favours online latency, 1 favours batch throughput"),
    tokenGapObjectiveMs: z.number().positive().default(DEFAULT_TOKEN_GAP_OBJECTIVE_MS),
    callableBy: z.array(nameSchema).optional().describe("Teams that may call the service. Default: all teams"),
});
