import { z } from "zod";
import { serviceFileSchema } from "./serviceFileSchema.js";

/** The JSON Schema of service files, for editors. */
export function serviceFileJsonSchema(): object {
    return z.toJSONSchema(serviceFileSchema, { io: "input" });
}
