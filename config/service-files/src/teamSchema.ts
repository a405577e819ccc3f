import { z } from "zod";
import { limitsSchema } from "./limitsSchema.js";
import { nameSchema } from "./nameSchema.js";

/** Schema of a team in a service file. API keys are created through the operators' API and never appear in files. */
export const teamSchema = z.strictObject({
    teamId: nameSchema,
    displayName: z.string().min(1).optional(),
    weight: z.number().positive().default(1),
    limits: limitsSchema.default({}),
});
