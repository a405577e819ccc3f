import { z } from "zod";
import { limitsSchema } from "./limitsSchema.js";
import { nameSchema } from "./nameSchema.js";

/** A team in a service file. Keys are made by the operators' API, never written in files. */
export const teamSchema = z.strictObject({
    teamId: nameSchema,
    displayName: z.string().min(1).optional(),
    weight: z.number().positive().default(1),
    limits: limitsSchema.default({}),
});
