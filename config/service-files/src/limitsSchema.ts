import { z } from "zod";

/** Schema of the limits of a team or a service. */
export const limitsSchema = z.strictObject({
    requestsPerSecond: z.number().positive().optional(),
    tokensPerSecond: z.number().positive().optional(),
    concurrency: z.int().positive().optional(),
});
