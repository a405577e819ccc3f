import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import type { KeyValueCompare } from "@knapweedwood/core.key-value/keyValueCompare";
import type { KeyValueEntry } from "@knapweedwood/core.key-value/keyValueEntry";
import type { KeyValueOperation } from "@knapweedwood/core.key-value/keyValueOperation";
import { MAX_VALUE_SIZE_BYTES } from "@knapweedwood/core.key-value/maxValueSizeBytes";
import { countJobTokens } from "./countJobTokens.js";
import { createJobOperations } from "./createJobOperations.js";
import type { HeldJob } from "./heldJob.js";
import { jobKeys } from "./jobKeys.js";
import type { WaitingTokens } from "./waitingTokens.js";

/** The write that stores a job and adds its tokens to the waiting tokens of its route, which may get a limit later. */
interface JobWrite {
    compares: KeyValueCompare[];
    operations: KeyValueOperation[];
    /**
     * Waiting tokens of the route including this job; 0 if they aren't counted, infinity if so many jobs wait that their list
     * can't be stored.
     */
    waitingTokens: number;
}

/** Share of the largest value from which an entry of waiting tokens leaves out the jobs of a route without a limit. */
const MAX_UNLIMITED_ENTRY_SHARE = 0.5;

/**
 * Returns the conditional write that stores a job unless it is stored or was removed.
 *
 * @param waitingTokensEntry the route's entry of waiting tokens as last seen; the write fails if it has changed since
 * @param maxValueSizeBytes largest value that the key-value service takes
 */
export function planJobWrite(
    job: HeldJob,
    waitingTokensEntry: KeyValueEntry | undefined,
    maxValueSizeBytes = MAX_VALUE_SIZE_BYTES,
): JobWrite {
    const { record } = job;
    const compares = [
        { key: jobKeys.record(record.jobId), modRevision: 0 },
        { key: jobKeys.tombstone(record.jobId), modRevision: 0 },
    ];
    const operations = createJobOperations(job, maxValueSizeBytes);
    const entryBytes = waitingTokensEntry?.value.length ?? 0;
    if (job.maxWaitingTokens === undefined && entryBytes > maxValueSizeBytes * MAX_UNLIMITED_ENTRY_SHARE) {
        return { compares, operations, waitingTokens: 0 };
    }
    const key = jobKeys.waitingTokens(record.routeName, record.team);
    const others = waitingTokensEntry === undefined ? [] : decodeRecord<WaitingTokens>(waitingTokensEntry.value).jobs;
    const jobs = [...others, { jobId: record.jobId, tokens: countJobTokens(record) }];
    const value = encodeRecord({ jobs } satisfies WaitingTokens);
    return {
        compares: [...compares, { key, modRevision: waitingTokensEntry?.modRevision ?? 0 }],
        operations: [...operations, { kind: "put", key, value }],
        waitingTokens: value.length > maxValueSizeBytes
            ? Infinity
            : jobs.reduce((sum, other) => sum + other.tokens, 0),
    };
}
