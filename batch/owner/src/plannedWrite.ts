import type { JobProgress } from "@knapweedwood/batch.jobs/jobProgress";
import type { KeyValueOperation } from "@knapweedwood/core.key-value/keyValueOperation";

/** The next progress of a job, with the operations of the same transaction. */
export interface PlannedWrite {
    /** Revision of the record that the plan is based on. */
    baseRevision: number;
    progress: JobProgress;
    operations: KeyValueOperation[];
}
