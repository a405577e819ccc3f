import type { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { WatchBatch } from "@knapweedwood/core.key-value/watchBatch";

/** Queues the changes under one prefix for one reader. */
export class KeyValueWatcher {
    private readonly prefix: string;
    private queue: WatchBatch[] = [];
    private failure: KnapweedError | undefined;
    private ended = false;
    private notifyReader: () => void = () => undefined;

    constructor(prefix: string) {
        this.prefix = prefix;
    }

    /** Queues the changes in `batch` that are under the prefix. */
    push(batch: WatchBatch): void {
        const puts = batch.puts.filter(entry => entry.key.startsWith(this.prefix));
        const deletedKeys = batch.deletedKeys.filter(key => key.startsWith(this.prefix));
        if (puts.length + deletedKeys.length > 0) {
            this.queue.push({ revision: batch.revision, puts, deletedKeys });
            this.notifyReader();
        }
    }

    /** Makes `batches` throw `error`. */
    fail(error: KnapweedError): void {
        this.failure = error;
        this.notifyReader();
    }

    /** Makes `batches` end without an error. */
    end(): void {
        this.ended = true;
        this.notifyReader();
    }

    /** Yields the queued changes, and waits for further ones until the watcher ends or fails. */
    async *batches(): AsyncIterable<WatchBatch> {
        while (!this.ended) {
            if (this.failure !== undefined) {
                throw this.failure;
            }
            const ready = this.queue;
            this.queue = [];
            yield* ready;
            await this.waitForChange();
        }
    }

    private async waitForChange(): Promise<void> {
        if (this.queue.length === 0 && this.failure === undefined && !this.ended) {
            await new Promise<void>(resolve => {
                this.notifyReader = resolve;
            });
        }
    }
}
