import { commitTransaction } from "@knapweedwood/batch.records/commitTransaction";
import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import { readRecord } from "@knapweedwood/batch.records/readRecord";
import type { Clock } from "@knapweedwood/core.clock/clock";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { Random } from "@knapweedwood/core.random/random";
import { batchKeys } from "./batchKeys.js";
import { createSortableId } from "./createSortableId.js";
import { jobChart } from "./jobChart.js";
import type { JobProgress } from "./jobProgress.js";
import type { OpenJob } from "./openJob.js";

interface JobCancellationOptions {
    keyValue: KeyValueService;
    clock: Clock;
    random: Random;
    onCancelled?: (jobId: JobId) => void;
}

/** Cancels jobs. A compare-and-swap of the progress decides races with completion and with other cancellations. */
export class JobCancellation {
    private readonly opts: JobCancellationOptions;

    constructor(opts: JobCancellationOptions) {
        this.opts = opts;
    }

    /** Cancels a job. Resolves once the job is in state `cancelling` or in a final state. */
    async cancel(jobId: JobId): Promise<void> {
        while (!await this.tryCancel(jobId)) {
            // The progress changed concurrently, so it is read again.
        }
        this.opts.onCancelled?.(jobId);
    }

    private async tryCancel(jobId: JobId): Promise<boolean> {
        const { clock, random, keyValue } = this.opts;
        const key = batchKeys.progress(jobId);
        const current = await readRecord<JobProgress>(keyValue, key);
        if (
            current === undefined || current.value.state === "cancelling"
            || !jobChart.accepts(current.value.state, "cancel")
        ) {
            return true;
        }
        const nowMs = clock.nowMs();
        const cancelled: JobProgress = {
            ...current.value,
            state: jobChart.next(current.value.state, "cancel"),
            cancelledAtMs: nowMs,
            writeId: createSortableId({ prefix: "cancel-", nowMs, random }),
        };
        const open: OpenJob = { jobId, cancelled: true };
        const result = await commitTransaction({
            keyValue,
            clock,
            random,
            compares: [{ key, modRevision: current.modRevision }],
            operations: [
                { kind: "put", key, value: encodeRecord(cancelled) },
                { kind: "put", key: batchKeys.openJob(jobId), value: encodeRecord(open) },
            ],
        });
        return result.succeeded;
    }
}
