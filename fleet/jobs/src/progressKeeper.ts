import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import type { KeyValueService } from "@knapweedwood/core.key-value/keyValueService";
import type { FencedLeadership } from "@knapweedwood/fleet.sync/fencedLeadership";
import type { JobItem } from "./jobItem.js";
import { jobKeys } from "./jobKeys.js";
import type { OpenJob } from "./openJob.js";
import { progressOf } from "./progressOf.js";

/** Progress entries that one write carries; the key-value service takes 32 entries. */
const MAX_ENTRIES = 30;

interface BegunItem {
    job: OpenJob;
    item: JobItem;
}

/** Stores how far items have come, so that the next leader goes on from there. */
export class ProgressKeeper {
    private readonly service: KeyValueService;
    private readonly lead: FencedLeadership;
    private readonly storedEventIds = new WeakMap<JobItem, number>();

    constructor(opts: { service: KeyValueService; lead: FencedLeadership; }) {
        this.service = opts.service;
        this.lead = opts.lead;
    }

    /** Stores all begun items. @returns how many there were */
    async saveAll(jobs: readonly OpenJob[]): Promise<number> {
        const begun = this.begunItems(jobs);
        for (let start = 0; start < begun.length; start += MAX_ENTRIES) {
            await this.write(begun.slice(start, start + MAX_ENTRIES));
        }
        return begun.length;
    }

    /** Stores the items that have come furthest since they were last stored, in one write at most. */
    async saveFurthest(jobs: readonly OpenJob[], minEvents: number): Promise<void> {
        const furthest = this.begunItems(jobs)
            .filter(({ item }) => item.state === "running" && this.unstoredEvents(item) >= minEvents)
            .sort((left, right) => this.unstoredEvents(right.item) - this.unstoredEvents(left.item))
            .slice(0, MAX_ENTRIES);
        if (furthest.length > 0) {
            await this.write(furthest);
        }
    }

    private begunItems(jobs: readonly OpenJob[]): BegunItem[] {
        return jobs
            .filter(job => !job.isEnded)
            .flatMap(job => job.begunItems().map(item => ({ job, item })));
    }

    private unstoredEvents(item: JobItem): number {
        return item.lastEventId - (this.storedEventIds.get(item) ?? 0);
    }

    private async write(begun: readonly BegunItem[]): Promise<void> {
        const fence = this.lead.fence();
        if (fence === undefined) {
            return;
        }
        const storedIds = begun.map(({ item }) => item.lastEventId);
        await this.service.transact(
            [fence],
            begun.map(({ job, item }) => ({
                kind: "put",
                key: jobKeys.progress(job.record.jobId, item.index),
                value: encodeRecord(progressOf(item)),
            })),
        );
        begun.forEach(({ item }, index) => this.storedEventIds.set(item, storedIds[index]!));
    }
}
