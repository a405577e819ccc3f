import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Random } from "@knapweedwood/core.random/random";
import type { CacheEvent } from "@knapweedwood/engines.model-engine/cacheEvent";

/** Publishes cache events after `delayMs`, and drops a random share `lossShare` in [0, 1] of them. */
export class CacheEventFeed {
    private readonly clock: Clock;
    private readonly random: Random;
    private readonly delayMs: number;
    private readonly lossShare: number;
    private readonly listeners = new Set<(event: CacheEvent) => void>();
    private sequenceNumber = 0;

    constructor(opts: { clock: Clock; random: Random; delayMs: number; lossShare: number; }) {
        this.clock = opts.clock;
        this.random = opts.random;
        this.delayMs = opts.delayMs;
        this.lossShare = opts.lossShare;
    }

    /**
     * Numbers an event and sends it to the subscribers. Drops it if there are none. A dropped event leaves a gap in the
     * numbers.
     */
    publish(kind: "stored" | "evicted", blockHashes: string[]): void {
        this.sequenceNumber += 1;
        const event: CacheEvent = { sequenceNumber: this.sequenceNumber, kind, blockHashes };
        if (this.listeners.size === 0 || this.random.next() < this.lossShare) {
            return;
        }
        this.clock.setTimer(this.delayMs, () => this.listeners.forEach(listener => listener(event)));
    }

    /** @returns a function that ends the subscription */
    subscribe(listener: (event: CacheEvent) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }
}
