import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import type { KeyValueCompare } from "@knapweedwood/core.key-value/keyValueCompare";
import type { KeyValueOperation } from "@knapweedwood/core.key-value/keyValueOperation";
import { randomUUID } from "node:crypto";
import { jobKeys } from "./jobKeys.js";
import type { ListedItems } from "./listedItems.js";
import type { OpenJob } from "./openJob.js";
import type { PendingResult } from "./pendingResult.js";
import type { PositionedResult } from "./positionedResult.js";

/** Maximum number of comparisons and operations together that the key-value service accepts in one write. */
const MAX_ENTRIES = 32;
/** Maximum total output per write, in characters. */
const MAX_LENGTH = 500_000;

/**
 * The results that one write stores. The write succeeds only if this process still leads and if the stored list of each
 * job is the one that this process has read, so that neither an item nor a position gets a second result.
 */
export class ResultBatch {
    private readonly fence: KeyValueCompare;
    private readonly nonce = randomUUID();
    private readonly positioned: PositionedResult[] = [];
    private length = 0;

    constructor(fence: KeyValueCompare) {
        this.fence = fence;
    }

    /** The results with their positions, shape [results]. */
    get results(): readonly PositionedResult[] {
        return this.positioned;
    }

    /** The jobs of the results, shape [jobs]. */
    get jobs(): OpenJob[] {
        return [...new Set(this.positioned.map(({ job }) => job))];
    }

    /** Conditions of the write, shape [compares]. */
    get compares(): KeyValueCompare[] {
        return [this.fence, ...this.jobs.flatMap(job => this.comparesOf(job))];
    }

    /** What the write stores, shape [operations]. */
    get operations(): KeyValueOperation[] {
        return [
            ...this.jobs.map((job): KeyValueOperation => ({
                kind: "put",
                key: jobKeys.listedItems(job.record.jobId),
                value: encodeRecord(this.listOf(job)),
            })),
            ...this.positioned.map(({ job, result, position }): KeyValueOperation => ({
                kind: "put",
                key: jobKeys.result(job.record.jobId, position),
                value: encodeRecord(result),
            })),
        ];
    }

    /**
     * Adds a result unless the write would become too large. A second result of an item is ignored.
     *
     * @returns false if the result has to wait for another write
     */
    add({ job, result }: PendingResult): boolean {
        const ofJob = this.resultsOf(job);
        if (ofJob.some(other => other.result.itemId === result.itemId)) {
            return true;
        }
        const length = this.length + result.output.length;
        if (this.positioned.length > 0 && (length > MAX_LENGTH || this.entriesWith(job) > MAX_ENTRIES)) {
            return false;
        }
        this.length = length;
        this.positioned.push({ job, result, position: job.resultCount + ofJob.length });
        return true;
    }

    /** Returns the number of entries of the write with one more result of a job. */
    private entriesWith(job: OpenJob): number {
        const jobs = [...new Set([...this.jobs, job])];
        const compares = 1 + jobs.flatMap(other => this.comparesOf(other)).length;
        return compares + jobs.length + this.positioned.length + 1;
    }

    private comparesOf(job: OpenJob): KeyValueCompare[] {
        const { jobId } = job.record;
        const list = { key: jobKeys.listedItems(jobId), modRevision: job.listRevision };
        if (job.listRevision > 0) {
            return [list];
        }
        // A job without a list may have results of an earlier version of this program. It may also have been removed, after it
        // was opened from a disk, or before this write arrives.
        return [
            list,
            { key: jobKeys.result(jobId, job.resultCount), modRevision: 0 },
            { key: jobKeys.tombstone(jobId), modRevision: 0 },
        ];
    }

    private listOf(job: OpenJob): ListedItems {
        const added = this.resultsOf(job).flatMap(({ result }) => job.item(result.itemId)?.index ?? []);
        return { nonce: this.nonce, itemIndexes: [...job.listedItemIndexes, ...added] };
    }

    private resultsOf(job: OpenJob): PositionedResult[] {
        return this.positioned.filter(other => other.job === job);
    }
}
