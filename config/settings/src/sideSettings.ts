import type { z } from "zod";
import type { sideSettingsSchema } from "./sideSettingsSchema.js";

/** Settings of a side process. */
export type SideSettings = z.output<typeof sideSettingsSchema>;
