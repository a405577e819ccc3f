import { limitsSchema } from "@knapweedwood/config.service-files/limitsSchema";
import { teamSchema } from "@knapweedwood/config.service-files/teamSchema";
import { z } from "zod";

const MAX_MESSAGE_CHARACTERS = 1_000;
const MAX_NAME_CHARACTERS = 200;

const publishOptions = {
    dryRun: z.boolean().default(false),
    message: z.string().max(MAX_MESSAGE_CHARACTERS).default(""),
};

/** Schemas of the request bodies of the operators' API. */
export const bodySchemas = {
    createTeam: teamSchema,
    changeTeam: z.strictObject({
        displayName: z.string().min(1).optional(),
        weight: z.number().positive().optional(),
        limits: limitsSchema.optional(),
    }),
    limits: limitsSchema,
    createKey: z.strictObject({
        name: z.string().max(MAX_NAME_CHARACTERS).default(""),
        role: z.enum(["platform-operator", "team-operator", "caller"]).default("caller"),
        limits: limitsSchema.optional(),
    }),
    publish: z.strictObject({
        files: z.array(z.strictObject({ path: z.string(), text: z.string() })).min(1),
        baseRevision: z.int().positive().optional(),
        ...publishOptions,
    }),
    rollback: z.strictObject({ revision: z.int().positive(), dryRun: z.boolean().optional() }),
};
