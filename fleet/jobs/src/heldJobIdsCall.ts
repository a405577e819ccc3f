import type { JobId } from "@knapweedwood/core.ids/jobId";
import { defineCall } from "@knapweedwood/links.calls/defineCall";

/** Returns the ids of the jobs that a runner holds, shape [jobs]. */
export const heldJobIdsCall = defineCall<Record<string, never>, { jobIds: JobId[]; }>("jobs.held-ids");
