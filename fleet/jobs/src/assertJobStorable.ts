import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { MAX_KEY_SIZE_BYTES } from "@knapweedwood/core.key-value/maxKeySizeBytes";
import { MAX_TRANSACTION_ENTRIES } from "@knapweedwood/core.key-value/maxTransactionEntries";
import type { HeldJob } from "./heldJob.js";
import { jobKeys } from "./jobKeys.js";
import { planJobWrite } from "./planJobWrite.js";

/** Comparisons that the leader adds to the write of a job. */
const LEADER_COMPARES = 1;

/**
 * Throws `JOB_ID_TOO_LONG` or `JOB_TOO_LARGE` if the key-value service would never take the job, so that it must not be
 * accepted: a job that is only held on disks is gone with them.
 */
export function assertJobStorable(job: HeldJob): void {
    const { jobId, items } = job.record;
    const longestKey = jobKeys.progress(jobId, items.length);
    const keyBytes = Buffer.byteLength(longestKey);
    if (keyBytes > MAX_KEY_SIZE_BYTES) {
        const excessBytes = keyBytes - MAX_KEY_SIZE_BYTES;
        throw new KnapweedError("JOB_ID_TOO_LONG", `The id of the job is ${excessBytes} bytes too long`, {
            outcome: "not-run",
        });
    }
    const { compares, operations } = planJobWrite(job, undefined);
    const entries = compares.length + operations.length + LEADER_COMPARES;
    if (entries > MAX_TRANSACTION_ENTRIES) {
        const bytes = operations.reduce(
            (sum, operation) => sum + (operation.kind === "put" ? operation.value.length : 0),
            0,
        );
        throw new KnapweedError("JOB_TOO_LARGE", `Job ${jobId} is too large to be stored: ${bytes} bytes`, {
            hint: "Divide its items among several jobs.",
            outcome: "not-run",
        });
    }
}
