import type { WatchBatch } from "@knapweedwood/core.key-value/watchBatch";

const MAX_BATCHES = 20_000;
const MAX_SIZE_BYTES = 64_000_000;

/** The latest changes, for watches that start at an earlier revision. */
export class ChangeHistory {
    private batches: WatchBatch[] = [];
    private sizeBytes = 0;
    private lastDroppedRevision = 0;

    /** Adds a change. If there are too many changes or bytes, drops the older half. */
    push(batch: WatchBatch): void {
        this.batches.push(batch);
        this.sizeBytes += sizeOf(batch);
        if (this.batches.length > MAX_BATCHES || this.sizeBytes > MAX_SIZE_BYTES) {
            this.dropOlderHalf();
        }
    }

    /** Returns whether all changes after `revision` are still stored. */
    isCompleteAfter(revision: number): boolean {
        return revision >= this.lastDroppedRevision;
    }

    /** Returns the stored changes after `revision`, in order, shape [batches]. */
    after(revision: number): WatchBatch[] {
        return this.batches.filter(batch => batch.revision > revision);
    }

    /** Drops all changes. */
    clear(): void {
        this.lastDroppedRevision = this.batches.at(-1)?.revision ?? this.lastDroppedRevision;
        this.batches = [];
        this.sizeBytes = 0;
    }

    private dropOlderHalf(): void {
        const dropped = this.batches.splice(0, Math.ceil(this.batches.length / 2));
        this.lastDroppedRevision = dropped.at(-1)?.revision ?? this.lastDroppedRevision;
        this.sizeBytes -= dropped.reduce((total, batch) => total + sizeOf(batch), 0);
    }
}

function sizeOf(batch: WatchBatch): number {
    return batch.puts.reduce((total, entry) => total + entry.value.byteLength, 0);
}
