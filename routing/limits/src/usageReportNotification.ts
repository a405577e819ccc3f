import { defineNotification } from "@knapweedwood/links.calls/defineNotification";
import type { UsageReport } from "./usageReport.js";

/** Notifies other entries of the demand at this entry. */
export const usageReportNotification = defineNotification<UsageReport>("limits.usage");
