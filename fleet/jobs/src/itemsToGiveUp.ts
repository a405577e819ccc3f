import type { JobItem } from "./jobItem.js";
import type { OpenJob } from "./openJob.js";

/** Items of one job that are given up for the same reason. */
export interface ItemsToGiveUp {
    job: OpenJob;
    items: JobItem[];
    reason: "expired" | "route-missing";
}
