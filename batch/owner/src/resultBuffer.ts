import type { BatchResult } from "@knapweedwood/batch.items/batchResult";
import type { ItemResult } from "@knapweedwood/batch.jobs/itemResult";
import type { ResultSegment } from "@knapweedwood/batch.jobs/resultSegment";
import type { SegmentStore } from "@knapweedwood/batch.segments/segmentStore";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { SealedResults } from "./sealedResults.js";
import { toBatchResult } from "./toBatchResult.js";

interface BufferedResult {
    index: number;
    failed: boolean;
    line: Buffer;
}

/** Results of one job that are not committed yet, in memory or in sealed segments. */
export class ResultBuffer {
    private readonly store: SegmentStore;
    private results: BufferedResult[] = [];
    private sealing: Promise<void> = Promise.resolve();
    private sealed: SealedResults[] = [];
    private bufferedBytes = 0;

    constructor(store: SegmentStore) {
        this.store = store;
    }

    /** Size in bytes of the results that are in memory only. */
    get sizeBytes(): number {
        return this.bufferedBytes;
    }

    /** Stored segments of results that wait for a commit, shape [segments]. */
    get sealedSegments(): readonly SealedResults[] {
        return this.sealed;
    }

    get uncommittedCount(): number {
        return this.results.length + this.sealed.reduce((sum, segment) => sum + segment.indexes.length, 0);
    }

    /** Returns whether a result fits into a segment. */
    fits(result: ItemResult): boolean {
        return encodeLine(result).length <= this.store.maxSegmentBytes;
    }

    add(result: ItemResult): void {
        const line = encodeLine(result);
        this.results.push({ index: result.index, failed: result.failed, line });
        this.bufferedBytes += line.length;
    }

    get isFull(): boolean {
        return this.bufferedBytes >= this.store.maxSegmentBytes;
    }

    /** Writes the buffered results as segments. Rejects if a segment can't be stored; its results stay buffered. */
    async seal(): Promise<void> {
        const previous = this.sealing;
        const next = previous.catch(() => undefined).then(() => this.sealAll());
        this.sealing = next;
        await next;
    }

    /** Returns the indexes of items whose result is not committed, shape [results]. */
    uncommittedIndexes(): number[] {
        return [...this.results.map(result => result.index), ...this.sealed.flatMap(segment => segment.indexes)];
    }

    /** Drops buffered results whose index matches. */
    dropBuffered(matches: (index: number) => boolean): void {
        this.results = this.results.filter(result => !matches(result.index));
        this.bufferedBytes = this.results.reduce((sum, result) => sum + result.line.length, 0);
    }

    /** Drops sealed segments from the uncommitted results. */
    dropSealed(segments: readonly SealedResults[]): void {
        this.sealed = this.sealed.filter(segment => !segments.includes(segment));
    }

    /** Yields the uncommitted results as reports, in groups, to send to another owner. */
    async *uncommittedResults(jobId: JobId): AsyncIterable<BatchResult[]> {
        for (const { segment } of this.sealed) {
            const text = Buffer.from(await this.store.get(segment.digest)).toString("utf8");
            yield text.trimEnd().split("\n").flatMap(line =>
                toBatchResult(jobId, JSON.parse(line) as ItemResult) ?? []
            );
        }
        yield this.results.flatMap(result =>
            toBatchResult(jobId, JSON.parse(result.line.toString("utf8")) as ItemResult) ?? []
        );
    }

    private async sealAll(): Promise<void> {
        while (this.results.length > 0) {
            const selected = this.selectSegmentResults();
            const bytes = Buffer.concat(selected.map(result => result.line));
            const digest = await this.store.put(bytes);
            this.results = this.results.filter(result => !selected.includes(result));
            this.bufferedBytes = this.results.reduce((sum, result) => sum + result.line.length, 0);
            this.sealed.push(toSealedResults(selected, { digest, sizeBytes: bytes.length }));
        }
    }

    private selectSegmentResults(): BufferedResult[] {
        let sizeBytes = 0;
        const end = this.results.findIndex(result => {
            sizeBytes += result.line.length;
            return sizeBytes > this.store.maxSegmentBytes;
        });
        return this.results.slice(0, end === -1 ? undefined : end).sort((left, right) => left.index - right.index);
    }
}

function encodeLine(result: ItemResult): Buffer {
    return Buffer.from(`${JSON.stringify(result)}\n`, "utf8");
}

function toSealedResults(
    selected: BufferedResult[],
    stored: Pick<ResultSegment, "digest" | "sizeBytes">,
): SealedResults {
    const indexes = selected.map(result => result.index);
    return {
        segment: {
            ...stored,
            lineCount: selected.length,
            firstIndex: indexes[0],
            lastIndex: indexes[indexes.length - 1],
        },
        indexes,
        failedCount: selected.filter(result => result.failed).length,
    };
}
