import type { BatchItem } from "@knapweedwood/batch.items/batchItem";
import type { BatchResult } from "@knapweedwood/batch.items/batchResult";
import type { HeldItem } from "@knapweedwood/batch.items/heldItem";
import type { HandedOutItem } from "@knapweedwood/batch.jobs/handedOutItem";
import { ItemSet } from "@knapweedwood/batch.jobs/itemSet";
import type { JobManifest } from "@knapweedwood/batch.jobs/jobManifest";
import type { JobProgress } from "@knapweedwood/batch.jobs/jobProgress";
import type { StoredRecord } from "@knapweedwood/batch.records/storedRecord";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";
import { createOutputLine } from "./createOutputLine.js";
import { decideAfterAttempt } from "./decideAfterAttempt.js";
import type { FailedAttempt } from "./failedAttempt.js";
import { indexesOf } from "./indexesOf.js";
import { InheritedItems } from "./inheritedItems.js";
import { ItemQueue } from "./itemQueue.js";
import { JobInput } from "./jobInput.js";
import type { JobRunOptions } from "./jobRunOptions.js";
import { parseInputLine } from "./parseInputLine.js";
import { resolveService } from "./resolveService.js";
import { ResultBuffer } from "./resultBuffer.js";
import { toBatchItem } from "./toBatchItem.js";

const READ_AHEAD_ITEMS = 512;
const REFILL_BELOW_ITEMS = 256;
const MAX_BUFFERED_BYTES = 16_000_000;
/** How long results of items that an earlier owner claimed may still arrive. */
const ORPHAN_GRACE_MS = 20_000;

/** The in-memory state of one job at its partition's owner: queue, in-flight items, claims and uncommitted results. */
export class JobRun {
    readonly manifest: JobManifest;
    readonly buffer: ResultBuffer;
    private readonly opts: JobRunOptions;
    private readonly input: JobInput;
    private orphanGraceStartedAtMs: number;
    private readonly ownWriteIds = new Set<string>();
    private stored: StoredRecord<JobProgress>;
    /** Items with a result, committed or not. */
    private finished: ItemSet;
    /** Items that another owner claimed and that have no result yet. */
    private readonly orphans: Set<number>;
    /** Items whose claim is committed. */
    private readonly claimed: ItemSet;
    /** Items whose claim waits for a commit. */
    private readonly uncommittedClaims = new Set<number>();
    private readonly queue: ItemQueue;
    private readonly inherited: InheritedItems;
    /** Next index to read ahead. Reset to 0 when items of dropped segments must run again. */
    private cursor = 0;
    /** End of the indexes that were ever read ahead. */
    private readAheadEnd = 0;
    private refilling: Promise<void> | undefined;
    private firstUncommittedAtMs: number | undefined;

    constructor(opts: JobRunOptions) {
        this.opts = opts;
        this.manifest = opts.manifest;
        this.stored = opts.progress;
        this.input = new JobInput({ store: opts.segmentStore, segments: opts.manifest.input });
        this.buffer = new ResultBuffer(opts.segmentStore);
        this.orphanGraceStartedAtMs = opts.clock.nowMs();
        this.finished = new ItemSet(opts.progress.value.finished);
        this.claimed = new ItemSet(opts.progress.value.claimed);
        this.orphans = new Set(indexesOf(opts.progress.value.claimed).filter(index => !this.finished.has(index)));
        this.queue = new ItemQueue(opts.progress.value.histories);
        this.inherited = new InheritedItems({ queue: this.queue, handedOut: opts.progress.value.handedOut });
    }

    get progress(): JobProgress {
        return this.stored.value;
    }

    get modRevision(): number {
        return this.stored.modRevision;
    }

    /** When the first uncommitted result arrived, or a record was last applied since; undefined if there is none. */
    get oldestUncommittedAtMs(): number | undefined {
        return this.firstUncommittedAtMs;
    }

    /** Items whose claim waits for a commit, shape [items]. */
    get pendingClaims(): number[] {
        return [...this.uncommittedClaims];
    }

    get hasAllResults(): boolean {
        return this.progress.state === "in_progress" && this.finished.size === this.progress.totalCount;
    }

    get inFlightItems(): ReturnType<ItemQueue["inFlightItems"]> {
        return this.queue.inFlightItems();
    }

    /** Returns whether the item is claimed: its call may not be repeated, and it is in flight or orphaned. */
    isClaimed(index: number): boolean {
        return this.orphans.has(index) || this.queue.inFlightItem(index)?.item.service.repeatable === false;
    }

    /** Returns whether this attempt of the item is in flight at this peer. */
    isAtGate(item: BatchItem, peer: PeerIdentity): boolean {
        const inFlightItem = this.queue.inFlightItem(item.itemIndex);
        return inFlightItem?.item.attemptCount === item.attempt && inFlightItem.peer === peer.instanceId
            && inFlightItem.incarnation === peer.incarnation;
    }

    /** Returns the repeatable items that gates hold. Claims cover the items that may not be repeated. */
    handedOut(): HandedOutItem[] {
        return this.inFlightItems
            .filter(({ item }) => item.service.repeatable)
            .map(({ item, peer, incarnation }) => ({
                index: item.index,
                peer,
                incarnation,
                attempt: item.attemptCount,
            }));
    }

    /** Records which items of the job a gate holds, from this owner or an earlier one. */
    confirmHeld(held: HeldItem[], peer: PeerIdentity): void {
        const open = held.filter(({ itemIndex }) => !this.finished.has(itemIndex) && !this.orphans.has(itemIndex));
        this.inherited.confirm(open, peer, this.opts.clock.nowMs());
    }

    histories(): JobProgress["histories"] {
        return this.queue.allHistories();
    }

    /** Reads items ahead until READ_AHEAD_ITEMS are waiting. Waits for a read that is already running. */
    async refill(): Promise<void> {
        if (
            this.opts.services.isReady() && this.progress.state === "in_progress"
            && this.queue.waitingCount < REFILL_BELOW_ITEMS
        ) {
            this.refilling ??= this.readAhead().finally(() => this.refilling = undefined);
            await this.refilling;
        }
    }

    /** Hands out the next item of a service. Returns undefined if none may run at this gate now. */
    take(service: ServiceName, peer: PeerIdentity): BatchItem | undefined {
        if (this.progress.state !== "in_progress" || this.buffer.sizeBytes > MAX_BUFFERED_BYTES) {
            return undefined;
        }
        const item = this.queue.take(service, peer, this.opts.clock.nowMs());
        if (item === undefined) {
            return undefined;
        }
        if (!item.service.repeatable && !this.claimed.has(item.index)) {
            this.uncommittedClaims.add(item.index);
        }
        return toBatchItem(item, this.manifest);
    }

    /** Puts items back at the front of the queue that were not handed out after all, without counting the attempt. */
    requeue(items: BatchItem[], peer: PeerIdentity): void {
        items.filter(item => this.isAtGate(item, peer)).forEach(({ itemIndex }) => {
            const inFlightItem = this.queue.removeInFlight(itemIndex);
            if (inFlightItem !== undefined) {
                this.queue.addFirst({ ...inFlightItem.item, attemptCount: inFlightItem.item.attemptCount - 1 });
            }
        });
    }

    /**
     * Records a result. Ignores results that no longer apply, such as those of an item that already has one, or a
     * failed attempt that is not in flight at this peer.
     */
    async report(result: BatchResult, peer: PeerIdentity): Promise<void> {
        const index: number = result.itemIndex;
        if (this.progress.state !== "in_progress" || this.finished.has(index) || index >= this.progress.totalCount) {
            return;
        }
        const { outcome } = result;
        if (outcome.kind === "completed" || outcome.kind === "rejected") {
            const inFlightItem = this.queue.inFlightItem(index);
            const customId = inFlightItem?.item.line.customId ?? await this.customIdOf(index);
            this.finish(index, customId, outcome);
            return;
        }
        if (this.inherited.isUnread(index)) {
            this.enqueue(index, await this.input.lineAt(index));
        }
        const inFlightItem = this.queue.inFlightItem(index);
        if (
            inFlightItem === undefined || inFlightItem.peer !== peer.instanceId
            || inFlightItem.item.attemptCount !== result.attempt
        ) {
            return;
        }
        if (outcome.kind === "returned") {
            this.queue.removeInFlight(index);
            this.queue.addFirst({
                ...inFlightItem.item,
                resumeFrom: outcome.resumeFrom ?? inFlightItem.item.resumeFrom,
            });
            return;
        }
        this.fail(index, { ...outcome, upstream: peer.instanceId, cause: outcome.blame });
    }

    /** Records a failed attempt of an in-flight item: requeues it or fails it permanently. */
    fail(index: number, attempt: FailedAttempt): void {
        const inFlightItem = this.queue.removeInFlight(index);
        if (inFlightItem === undefined) {
            return;
        }
        const { item } = inFlightItem;
        const decision = decideAfterAttempt({
            nowMs: this.opts.clock.nowMs(),
            dueAtMs: this.manifest.dueAtMs,
            repeatable: item.service.repeatable,
            index,
            history: this.queue.history(index),
            attempt,
            random: this.opts.random,
        });
        if (decision.kind === "abandoned") {
            this.finish(index, item.line.customId, decision);
            return;
        }
        this.queue.setHistory(decision.history);
        this.queue.add({ ...item, notBeforeMs: decision.notBeforeMs });
    }

    /** Fails an earlier owner's claimed items with `outcome_unknown` once no more reports of them are expected. */
    async settleOrphans(): Promise<void> {
        if (this.orphans.size === 0 || this.opts.clock.nowMs() - this.orphanGraceStartedAtMs < ORPHAN_GRACE_MS) {
            return;
        }
        const message = "The call may have run and may not be repeated";
        for (const index of [...this.orphans]) {
            const customId = await this.customIdOf(index);
            if (!this.finished.has(index)) {
                this.finish(index, customId, { kind: "abandoned", code: "outcome_unknown", message });
            }
        }
    }

    /** Records the id of a write that may take effect, to recognize this owner's own records. */
    trackWrite(writeId: string): void {
        this.ownWriteIds.add(writeId);
    }

    /** Applies a committed record, written by this owner or by another writer. */
    applyRecord(stored: StoredRecord<JobProgress>): void {
        const isOwn = this.ownWriteIds.has(stored.value.writeId);
        const newClaims = indexesOf(stored.value.claimed).filter(index => this.claimed.add(index));
        this.stored = stored;
        const digests = new Set(stored.value.results.map(result => result.digest));
        this.buffer.dropSealed(this.buffer.sealedSegments.filter(sealed => digests.has(sealed.segment.digest)));
        newClaims.forEach(index => this.uncommittedClaims.delete(index));
        this.ownWriteIds.clear();
        if (!isOwn) {
            this.mergeForeignCommit(newClaims);
        }
        this.firstUncommittedAtMs = this.buffer.uncommittedCount === 0 ? undefined : this.opts.clock.nowMs();
        if (stored.value.state !== "in_progress") {
            this.queue.clear();
        }
    }

    /** Drops sealed segments with a result that another owner has committed. The other items in them are run again. */
    dropOverlappingSegments(): void {
        const committed = new ItemSet(this.progress.finished);
        const overlapping = this.buffer.sealedSegments
            .filter(sealed => sealed.indexes.some(index => committed.has(index)));
        if (overlapping.length === 0) {
            return;
        }
        this.buffer.dropSealed(overlapping);
        this.finished = new ItemSet(this.progress.finished);
        this.buffer.uncommittedIndexes().forEach(index => this.finished.add(index));
        this.cursor = 0;
    }

    /** Merges a record that another owner wrote: its results and claims take precedence. */
    private mergeForeignCommit(newClaims: number[]): void {
        const committed = new ItemSet(this.progress.finished);
        this.buffer.dropBuffered(index => committed.has(index));
        indexesOf(this.progress.finished)
            .filter(index => this.finished.add(index))
            .forEach(index => this.queue.remove(index));
        newClaims.filter(index => !this.finished.has(index)).forEach(index => {
            this.queue.remove(index);
            this.orphans.add(index);
        });
        this.orphanGraceStartedAtMs = this.opts.clock.nowMs();
    }

    private finish(index: number, customId: string, outcome: Parameters<typeof createOutputLine>[0]["outcome"]): void {
        if (!this.finished.add(index)) {
            return;
        }
        this.queue.remove(index);
        this.orphans.delete(index);
        this.firstUncommittedAtMs ??= this.opts.clock.nowMs();
        const { jobId } = this.manifest;
        const result = createOutputLine({ jobId, index, customId, outcome });
        const tooLarge = {
            kind: "abandoned",
            code: "result_too_large",
            message: "The result exceeds the maximum result size",
        } as const;
        this.buffer.add(
            this.buffer.fits(result) ? result : createOutputLine({ jobId, index, customId, outcome: tooLarge }),
        );
    }

    private async readAhead(): Promise<void> {
        while (this.queue.waitingCount < READ_AHEAD_ITEMS && this.cursor < this.progress.totalCount) {
            const index = this.cursor;
            if (!this.finished.has(index) && !this.orphans.has(index) && !this.isQueued(index)) {
                this.enqueue(index, await this.input.lineAt(index));
            }
            this.cursor = index + 1;
            this.readAheadEnd = Math.max(this.readAheadEnd, this.cursor);
        }
    }

    /** Returns whether the item is queued. Searches the queue only for indexes that were read ahead before. */
    private isQueued(index: number): boolean {
        return index < this.readAheadEnd && this.queue.has(index);
    }

    private enqueue(index: number, text: string): void {
        if (this.finished.has(index) || this.queue.has(index)) {
            return;
        }
        const line = parseInputLine(text, this.manifest.endpoint);
        const service = resolveService(this.opts.services, line, this.manifest.teamId);
        if (service === undefined) {
            const message = "No service provides the model or has the name in the URL";
            this.finish(index, line.customId, { kind: "rejected", statusCode: 404, code: "model_not_found", message });
            return;
        }
        const item = { index, line, service, attemptCount: 0, notBeforeMs: 0, resumeFrom: undefined };
        this.inherited.add(item, this.opts.clock.nowMs());
    }

    private async customIdOf(index: number): Promise<string> {
        return parseInputLine(await this.input.lineAt(index), this.manifest.endpoint).customId;
    }
}
