import type { JobProgress } from "@knapweedwood/batch.jobs/jobProgress";

/** Result of validating an input file. */
export interface InputReport {
    itemCount: number;
    errors: JobProgress["errors"];
}
