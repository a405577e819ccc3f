import { batchKeys } from "@knapweedwood/batch.jobs/batchKeys";
import type { JobProgress } from "@knapweedwood/batch.jobs/jobProgress";
import { partitionKeys } from "@knapweedwood/batch.ownership/partitionKeys";
import { commitTransaction } from "@knapweedwood/batch.records/commitTransaction";
import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import { readRecord } from "@knapweedwood/batch.records/readRecord";
import type { JobRun } from "./jobRun.js";
import type { PartitionOwnerOptions } from "./partitionOwnerOptions.js";
import type { PlannedWrite } from "./plannedWrite.js";

/** A planned write with its job. */
interface JobRunWrite extends PlannedWrite {
    run: JobRun;
}

/** Commits progress records by compare-and-swap under the partition's fencing number. */
export class ProgressCommitter {
    private readonly opts: PartitionOwnerOptions;

    constructor(opts: PartitionOwnerOptions) {
        this.opts = opts;
    }

    /**
     * Commits all writes in one transaction. If it is rejected, jobs whose record has changed are reloaded.
     *
     * @returns whether the writes took effect
     */
    async commit(planned: JobRunWrite[]): Promise<boolean> {
        const owned = this.opts.owned();
        if (owned === undefined || planned.length === 0) {
            return false;
        }
        const { fencingNumber } = owned;
        const writes = planned.map(write => ({ ...write, progress: { ...write.progress, fencingNumber } }));
        const { keyValue, clock, random } = this.opts;
        writes.forEach(({ run, progress }) => run.trackWrite(progress.writeId));
        const ownerKey = partitionKeys.owner("batch", owned.partitionId);
        const result = await commitTransaction({
            keyValue,
            clock,
            random,
            compares: [
                ...writes.map(({ run, baseRevision }) => ({ key: progressKey(run), modRevision: baseRevision })),
                { key: ownerKey, modRevision: owned.modRevision },
            ],
            operations: writes.flatMap(({ run, progress, operations }) => [
                { kind: "put" as const, key: progressKey(run), value: encodeRecord(progress) },
                ...operations,
            ]),
        });
        this.opts.metrics.increment("batch.commit", { outcome: result.succeeded ? "taken" : "refused" });
        if (result.succeeded) {
            writes.forEach(({ run, progress }) =>
                run.applyRecord({ key: progressKey(run), value: progress, modRevision: result.revision })
            );
            return true;
        }
        await Promise.all(writes.map(({ run }) => this.reload(run)));
        return false;
    }

    /** Rereads a job's progress and applies it if another writer has changed it. */
    async reload(run: JobRun): Promise<void> {
        const stored = await readRecord<JobProgress>(this.opts.keyValue, progressKey(run));
        if (stored !== undefined && stored.modRevision !== run.modRevision) {
            run.applyRecord(stored);
        }
    }
}

function progressKey(run: JobRun): string {
    return batchKeys.progress(run.manifest.jobId);
}
