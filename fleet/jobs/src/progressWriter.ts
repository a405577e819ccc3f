import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { FencedLeadership } from "@knapweedwood/fleet.sync/fencedLeadership";
import type { JobItem } from "./jobItem.js";
import { jobKeys } from "./jobKeys.js";
import type { OpenJob } from "./openJob.js";
import { pickProgress } from "./pickProgress.js";

/** Progress entries per write; the key-value service accepts 32 entries. */
const MAX_ENTRIES = 30;
/** Maximum total output per write, in characters. */
const MAX_LENGTH = 1_000_000;
/** Writes per checkpoint. The next one continues with what is left. */
const MAX_CHECKPOINT_WRITES = 10;

/** What is stored of an item's progress. */
interface StoredProgress {
    lastEventId: number;
    failedAttempts: number;
    isImpossible: boolean;
}

interface ItemWithProgress {
    job: OpenJob;
    item: JobItem;
}

/** Stores the progress of items, so that the next leader can continue from there. */
export class ProgressWriter {
    private readonly service: KeyValueService;
    private readonly leadership: FencedLeadership;
    private readonly stored = new WeakMap<JobItem, StoredProgress>();

    constructor(opts: { service: KeyValueService; leadership: FencedLeadership; }) {
        this.service = opts.service;
        this.leadership = opts.leadership;
    }

    /** Stores the progress of the items of open jobs that have any. Returns the number of items stored. */
    saveAll(jobs: readonly OpenJob[]): Promise<number> {
        return this.writeInParts(this.itemsWithProgress(jobs));
    }

    /**
     * Stores the progress of items with at least `minEvents` unstored events or with unstored failures, also of those that
     * were displaced. Items with the most unstored events go first.
     */
    async saveFurthest(jobs: readonly OpenJob[], minEvents: number): Promise<void> {
        const furthest = this.itemsWithProgress(jobs)
            .filter(({ item }) => this.unstoredEvents(item) >= minEvents || this.hasUnstoredFailures(item))
            .sort((left, right) => this.unstoredEvents(right.item) - this.unstoredEvents(left.item))
            .slice(0, MAX_ENTRIES * MAX_CHECKPOINT_WRITES);
        await this.writeInParts(furthest);
    }

    /** Returns the number of items stored. */
    private async writeInParts(items: readonly ItemWithProgress[]): Promise<number> {
        let storedCount = 0;
        for (let start = 0; start < items.length;) {
            const part = this.takePart(items.slice(start, start + MAX_ENTRIES));
            storedCount += await this.write(part) ? part.length : 0;
            start += part.length;
        }
        return storedCount;
    }

    /** Returns as many of the items, but at least one, as one write may have output. */
    private takePart(items: readonly ItemWithProgress[]): readonly ItemWithProgress[] {
        let length = 0;
        const tooManyAt = items.findIndex(({ item }) => {
            length += item.events.reduce((sum, event) => sum + event.length, 0);
            return length > MAX_LENGTH;
        });
        return tooManyAt < 0 ? items : items.slice(0, Math.max(1, tooManyAt));
    }

    private itemsWithProgress(jobs: readonly OpenJob[]): ItemWithProgress[] {
        return jobs
            .filter(job => !job.isEnded)
            .flatMap(job => job.itemsWithProgress().map(item => ({ job, item })));
    }

    private unstoredEvents(item: JobItem): number {
        const storedId = this.stored.get(item)?.lastEventId ?? 0;
        // An item that has started over has fewer events than are stored of its earlier runs.
        return item.lastEventId < storedId ? item.lastEventId : item.lastEventId - storedId;
    }

    private hasUnstoredFailures(item: JobItem): boolean {
        const { failedAttempts, isImpossible } = this.stored.get(item) ?? { failedAttempts: 0, isImpossible: false };
        return item.failedAttempts > failedAttempts || (item.isImpossible === true && !isImpossible);
    }

    /** Returns whether the progress was stored. */
    private async write(items: readonly ItemWithProgress[]): Promise<boolean> {
        const fence = this.leadership.fence();
        if (fence === undefined) {
            return false;
        }
        const written = items.map(({ item }) => toStored(item));
        const { succeeded } = await this.service.transact(
            [fence],
            items.map(({ job, item }) => ({
                kind: "put",
                key: jobKeys.progress(job.record.jobId, item.index),
                value: encodeRecord(pickProgress(item)),
            })),
        );
        if (!succeeded) {
            this.leadership.stepDown(fence, "write-refused");
            return false;
        }
        items.forEach(({ item }, index) => this.stored.set(item, written[index]!));
        return true;
    }
}

function toStored({ lastEventId, failedAttempts, isImpossible }: JobItem): StoredProgress {
    return { lastEventId, failedAttempts, isImpossible: isImpossible === true };
}
