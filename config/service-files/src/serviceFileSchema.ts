import { z } from "zod";
import { serviceSchema } from "./serviceSchema.js";
import { teamSchema } from "./teamSchema.js";

/** Schema of a service file (`knapweed.yaml`). */
export const serviceFileSchema = z.strictObject({
    services: z.array(serviceSchema).default([]),
    teams: z.array(teamSchema).default([]),
});
