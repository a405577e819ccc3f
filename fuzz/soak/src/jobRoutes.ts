import type { JobRoute } from "./jobRoute.js";

/** The routes for batch jobs. The retention time of `job-brief` ends while callers still read the results. */
export const jobRoutes: JobRoute[] = [
    { name: "job", dueMs: 18_000, retentionMs: 600_000 },
    { name: "job-brief", dueMs: 5000, retentionMs: 6000 },
];
