import type { z } from "zod";
import type { entrySettingsSchema } from "./entrySettingsSchema.js";

/** Settings of an entry process. */
export type EntrySettings = z.output<typeof entrySettingsSchema>;
