import type { JobProgress } from "@knapweedwood/batch.jobs/jobProgress";

/** What the validation of an input file found. */
export interface InputReport {
    itemCount: number;
    errors: JobProgress["errors"];
}
