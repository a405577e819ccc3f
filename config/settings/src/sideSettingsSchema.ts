import { z } from "zod";
import { processSettingsShape } from "./processSettingsShape.js";

/** Schema of the settings file of a side. */
export const sideSettingsSchema = z.strictObject({
    ...processSettingsShape,
    /** The service of the upstream that runs on the same instance as this side. */
    service: z.string().min(1),
    upstream: z.strictObject({
        kind: z.enum(["model-engine", "plain"]),
        /** Base URL of the upstream, such as `http://127.0.0.1:8001`. */
        url: z.string(),
    }),
    /** Admission policy of the gate. Policies other than the default are baselines for measurements. */
    admissionPolicy: z.enum(["online-first", "first-come-first-served", "batch-off"]).default("online-first"),
    platform: z.strictObject({
        instanceListUrl: z.string(),
        weightStoreUrl: z.string().optional(),
    }),
});
