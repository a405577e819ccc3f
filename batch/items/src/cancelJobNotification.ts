import type { JobId } from "@knapweedwood/core.ids/jobId";
import { defineNotification } from "@knapweedwood/links.calls/defineNotification";

/** Notifies gates to stop all items of a job. */
export const cancelJobNotification = defineNotification<{ jobId: JobId; }>("batch.cancel-job");
