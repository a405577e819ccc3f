import { defineNotification } from "@knapweedwood/links.calls/defineNotification";
import type { UsageReport } from "./usageReport.js";

/** Tells other entries of the demand that this one sees. */
export const usageReportNotification = defineNotification<UsageReport>("limits.usage");
