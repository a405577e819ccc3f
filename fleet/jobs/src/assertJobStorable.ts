import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { MAX_TRANSACTION_ENTRIES } from "@knapweedwood/core.key-value/maxTransactionEntries";
import type { HeldJob } from "./heldJob.js";
import { planJobWrite } from "./planJobWrite.js";

/** Comparisons that the leader adds to the write of a job. */
const LEADER_COMPARES = 1;

/**
 * Throws `JOB_TOO_LARGE` if the key-value service would never take the job, so that it must not be accepted: a job that is only
 * held on disks is gone with them.
 */
export function assertJobStorable(job: HeldJob, maxValueSizeBytes?: number): void {
    const { compares, operations } = planJobWrite(job, undefined, maxValueSizeBytes);
    const entries = compares.length + operations.length + LEADER_COMPARES;
    if (entries > MAX_TRANSACTION_ENTRIES) {
        const bytes = operations.reduce(
            (sum, operation) => sum + (operation.kind === "put" ? operation.value.length : 0),
            0,
        );
        throw new KnapweedError("JOB_TOO_LARGE", `Job ${job.record.jobId} is too large to be stored: ${bytes} bytes`, {
            hint: "Divide its items among several jobs.",
            outcome: "not-run",
        });
    }
}
