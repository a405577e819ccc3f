import { z } from "zod";
import { serviceFileSchema } from "./serviceFileSchema.js";

/** Returns the JSON Schema of service files, for use in editors. */
export function serviceFileJsonSchema(): object {
    return z.toJSONSchema(serviceFileSchema, { io: "input" });
}
