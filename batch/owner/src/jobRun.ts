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
/** How long the results of claimed items of an earlier owner may still arrive. */
const ORPHAN_GRACE_MS = 20_000;

/** One job in the memory of its partition's owner. */
export class JobRun {
    readonly manifest: JobManifest;
    readonly buffer: ResultBuffer;
    private readonly opts: JobRunOptions;
    private readonly input: JobInput;
    private orphanGraceStartedAtMs: number;
    private readonly ownWriteIds = new Set<string>();
    private stored: StoredRecord<JobProgress>;
    private finished: ItemSet;
    private readonly orphans: Set<number>;
    /** Claims that are committed, and those that wait for a commit. */
    private readonly claimed: ItemSet;
    private readonly uncommittedClaims = new Set<number>();
    private readonly queue: ItemQueue;
    private readonly inherited: InheritedItems;
    private cursor = 0;
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

    get oldestUncommittedAtMs(): number | undefined {
        return this.firstUncommittedAtMs;
    }

    /** Claims that wait for a commit, shape [items]. */
    get pendingClaims(): number[] {
        return [...this.uncommittedClaims];
    }

    get hasAllResults(): boolean {
        return this.progress.state === "in_progress" && this.finished.size === this.progress.totalCount;
    }

    get inFlightItems(): ReturnType<ItemQueue["inFlightItems"]> {
        return this.queue.inFlightItems();
    }

    /** Whether the item's call may not be repeated. */
    isClaimed(index: number): boolean {
        return this.orphans.has(index) || this.queue.inFlightItem(index)?.item.service.repeatable === false;
    }

    /** Whether the item is still out under this attempt. */
    isAtGate(item: BatchItem, peer: PeerIdentity): boolean {
        const inFlightItem = this.queue.inFlightItem(item.itemIndex);
        return inFlightItem?.item.attemptCount === item.attempt && inFlightItem.peer === peer.instanceId
            && inFlightItem.incarnation === peer.incarnation;
    }

    /** What gates have and may be run again; the uncommittedClaims tell the rest. */
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

    /** Learns what a gate has of the job, from this owner or an earlier one. */
    confirmHeld(held: HeldItem[], peer: PeerIdentity): void {
        const open = held.filter(({ itemIndex }) => !this.finished.has(itemIndex) && !this.orphans.has(itemIndex));
        this.inherited.confirm(open, peer, this.opts.clock.nowMs());
    }

    histories(): JobProgress["histories"] {
        return this.queue.allHistories();
    }

    /** Reads items ahead; the queue stays bounded. */
    async refill(): Promise<void> {
        if (
            this.opts.services.isReady() && this.progress.state === "in_progress"
            && this.queue.waitingCount < REFILL_BELOW_ITEMS
        ) {
            this.refilling ??= this.readAhead().finally(() => this.refilling = undefined);
            await this.refilling;
        }
    }

    /** Hands out the next item of a service; undefined where none may run at this gate now. */
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

    /** Takes back items that were not handed out after all. */
    requeue(items: BatchItem[], peer: PeerIdentity): void {
        items.filter(item => this.isAtGate(item, peer)).forEach(({ itemIndex }) => {
            const inFlightItem = this.queue.removeInFlight(itemIndex);
            if (inFlightItem !== undefined) {
                this.queue.addFirst({ ...inFlightItem.item, attemptCount: inFlightItem.item.attemptCount - 1 });
            }
        });
    }

    /** Takes a result in; one that no longer matters is ignored. */
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

    /** Notes a failed attempt of an item in inFlightItem. */
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
        if (decision.kind === "set-aside") {
            this.finish(index, item.line.customId, decision);
            return;
        }
        this.queue.setHistory(decision.history);
        this.queue.add({ ...item, notBeforeMs: decision.notBeforeMs });
    }

    /** Gives claimed items of an earlier owner up as unknown once nobody can report them any more. */
    async settleOrphans(): Promise<void> {
        if (this.orphans.size === 0 || this.opts.clock.nowMs() - this.orphanGraceStartedAtMs < ORPHAN_GRACE_MS) {
            return;
        }
        const message = "The call may have run and may not be repeated";
        for (const index of [...this.orphans]) {
            const customId = await this.customIdOf(index);
            if (!this.finished.has(index)) {
                this.finish(index, customId, { kind: "set-aside", code: "outcome_unknown", message });
            }
        }
    }

    /** Notes the id of a write that may take effect. */
    trackWrite(writeId: string): void {
        this.ownWriteIds.add(writeId);
    }

    /** Takes the record as it was committed, by this owner or by another writer. */
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

    /** Forgets sealed results that another owner has committed; what else was in their segments is run again. */
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

    /** Another owner wrote the record: its results and uncommittedClaims stand. */
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
        const tooLarge = { kind: "set-aside", code: "result_too_large", message: "The result is too large" } as const;
        this.buffer.add(
            this.buffer.fits(result) ? result : createOutputLine({ jobId, index, customId, outcome: tooLarge }),
        );
    }

    private async readAhead(): Promise<void> {
        while (this.queue.waitingCount < READ_AHEAD_ITEMS && this.cursor < this.progress.totalCount) {
            const index = this.cursor;
            if (!this.finished.has(index) && !this.orphans.has(index) && !this.wasRead(index)) {
                this.enqueue(index, await this.input.lineAt(index));
            }
            this.cursor = index + 1;
            this.readAheadEnd = Math.max(this.readAheadEnd, this.cursor);
        }
    }

    private wasRead(index: number): boolean {
        return index < this.readAheadEnd && this.queue.has(index);
    }

    private enqueue(index: number, text: string): void {
        if (this.finished.has(index) || this.queue.has(index)) {
            return;
        }
        const line = parseInputLine(text, this.manifest.endpoint);
        const service = resolveService(this.opts.services, line, this.manifest.teamId);
        if (service === undefined) {
            const message = "No service offers the model or has the name";
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
