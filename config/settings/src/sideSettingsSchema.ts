import { z } from "zod";
import { processSettingsShape } from "./processSettingsShape.js";

/** Schema of a side's settings file. */
export const sideSettingsSchema = z.strictObject({
    ...processSettingsShape,
    /** The service whose upstream stands beside this process. */
    service: z.string().min(1),
    upstream: z.strictObject({
        kind: z.enum(["model-engine", "plain"]),
        /** Base URL of the upstream, such as `http://127.0.0.1:8001`. */
        url: z.string(),
    }),
    /** How the gate admits work; the other policies are baselines for measurements. */
    admissionPolicy: z.enum(["online-first", "first-come-first-served", "batch-off"]).default("online-first"),
    platform: z.strictObject({
        instanceListUrl: z.string(),
        weightStoreUrl: z.string().optional(),
    }),
});
