import type { ItemId } from "@knapweedwood/core.ids/itemId";
import { cutResultsPage } from "./cutResultsPage.js";
import type { ItemProgress } from "./itemProgress.js";
import type { ItemResult } from "./itemResult.js";
import type { JobItem } from "./jobItem.js";
import type { JobRecord } from "./jobRecord.js";
import type { ListedItems } from "./listedItems.js";
import { pickProgress } from "./pickProgress.js";
import type { ResultsPage } from "./resultsPage.js";

/** A job that this process runs or whose results it serves. Keeps the state of its items. */
export class OpenJob {
    readonly record: JobRecord;
    readonly items: JobItem[];
    isCancelled = false;
    /** Revision of the stored list of items with a result, as read or written last; 0 if there is none. */
    listRevision = 0;
    private readonly parts: (Buffer | undefined)[];
    /** All parts concatenated; undefined until a body is requested. */
    private joinedParts: Buffer | undefined;
    private readonly storedResults: ItemResult[] = [];
    private readonly listedItems = new Set<JobItem>();
    private waiters: (() => void)[] = [];

    constructor(record: JobRecord) {
        this.record = record;
        this.parts = Array.from({ length: record.partCount }, () => undefined);
        this.items = record.items.map((item, index) => ({
            record: item,
            id: item.id,
            index,
            state: "pending",
            events: [],
            lastEventId: 0,
            failedAttempts: 0,
            isComplete: false,
            notBeforeMs: 0,
            consecutiveRejections: 0,
            rejectedByUpstreamIds: [],
            consecutiveDiscards: 0,
            doubtedUpstreamIds: [],
            lastRunEndedAtMs: -Infinity,
            failedUpstreamIds: [],
        }));
    }

    /** Whether all parts of the bodies have arrived. */
    get isLoaded(): boolean {
        return this.parts.every(part => part !== undefined);
    }

    /** Whether every item has a result or the job was cancelled. */
    get isEnded(): boolean {
        return this.isCancelled || this.listedItems.size === this.items.length;
    }

    /** Indexes of the items with a stored result, in the order of their positions, shape [items]. */
    get listedItemIndexes(): number[] {
        return [...this.listedItems].map(item => item.index);
    }

    /** Number of positions that are taken, also by results that were removed already. */
    get resultCount(): number {
        return Math.max(this.storedResults.length, this.listedItems.size);
    }

    setPart(index: number, bytes: Uint8Array): void {
        this.parts[index] = Buffer.from(bytes);
        this.joinedParts = undefined;
    }

    bodyOf(item: JobItem): Buffer {
        const { bodyOffset, bodyBytes } = item.record;
        this.joinedParts ??= Buffer.concat(this.parts.map(part => part ?? Buffer.alloc(0)));
        return this.joinedParts.subarray(bodyOffset, bodyOffset + bodyBytes);
    }

    item(id: ItemId): JobItem | undefined {
        return this.items.find(item => item.id === id);
    }

    /** Applies progress to a pending item: its events unless the item is further ahead, and the failures of both. */
    restoreProgress(index: number, progress: ItemProgress): void {
        const item = this.items[index];
        if (item === undefined || item.state !== "pending") {
            return;
        }
        const failedAttempts = Math.max(item.failedAttempts, progress.failedAttempts);
        const isImpossible = item.isImpossible === true || progress.isImpossible === true;
        const furthest = progress.lastEventId >= item.lastEventId ? pickProgress(progress) : {};
        Object.assign(item, furthest, { failedAttempts, isImpossible });
    }

    /** Returns items without a stored result that have events or failures, shape [items]. */
    itemsWithProgress(): JobItem[] {
        return this.items
            .filter(item => item.state !== "stored")
            .filter(item => item.lastEventId > 0 || item.failedAttempts > 0 || item.isImpossible === true);
    }

    /**
     * Applies the stored list of items that have a result. An item on it is never run or given up again, even if its result
     * was removed already.
     */
    restoreList(modRevision: number, list: ListedItems): void {
        this.listRevision = modRevision;
        list.itemIndexes.flatMap(index => this.items[index] ?? []).forEach(item => this.markStored(item));
    }

    /** Adds the result stored at `position`. Ignores positions that are out of order. */
    addResult(position: number, result: ItemResult): void {
        if (position !== this.storedResults.length) {
            return;
        }
        this.storedResults.push(result);
        const item = this.item(result.itemId);
        if (item !== undefined) {
            this.markStored(item);
        }
        this.waiters.splice(0).forEach(wake => wake());
    }

    /** Returns the results from position `after` on, as many as fit in a page. */
    page(after: number): ResultsPage {
        return cutResultsPage(this.storedResults.slice(after), { total: this.items.length, after });
    }

    /** Calls `wake` once, at the next result. Returns a function that removes the subscription. */
    onNextResult(wake: () => void): () => void {
        this.waiters.push(wake);
        return () => {
            this.waiters = this.waiters.filter(other => other !== wake);
        };
    }

    private markStored(item: JobItem): void {
        this.listedItems.add(item);
        item.state = "stored";
        item.events = [];
    }
}
