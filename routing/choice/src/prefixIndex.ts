import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { PrefixCacheChange } from "./prefixCacheChange.js";

interface PrefixIndexOptions {
    /** Maximum number of blocks indexed for each upstream. */
    maxBlocks: number;
}

/** Number of events by which an event may arrive late. */
const MAX_EVENT_REORDERING = 1000;

interface UpstreamBlocks {
    /** Whether an event of the engine has confirmed the block, by hash of the block; least recently used first. */
    blocks: Map<string, boolean>;
    lastSequenceNumber: number | undefined;
}

/**
 * Estimates which prompt blocks each upstream has cached. The index is built from this entry's own choices and
 * corrected by the engines' events, which may arrive late and with gaps. After a gap no block counts as confirmed.
 */
export class PrefixIndex {
    private readonly maxBlocks: number;
    private readonly upstreams = new Map<InstanceId, UpstreamBlocks>();

    constructor(opts: PrefixIndexOptions) {
        this.maxBlocks = opts.maxBlocks;
    }

    /** Records that a prompt with these blocks was sent to an upstream. */
    recordChoice(instanceId: InstanceId, promptBlocks: readonly string[]): void {
        const upstream = this.blocksOf(instanceId);
        promptBlocks.forEach(block => this.put(upstream, block, upstream.blocks.get(block) ?? false));
    }

    /** Applies an engine's event. Ignores events that are older than the last one. */
    onCacheChange(change: PrefixCacheChange): void {
        this.resetIfRestarted(change);
        const upstream = this.blocksOf(change.instanceId);
        const last = upstream.lastSequenceNumber;
        if (last !== undefined && change.sequenceNumber <= last) {
            return;
        }
        if (last !== undefined && change.sequenceNumber > last + 1) {
            upstream.blocks.forEach((_, block) => upstream.blocks.set(block, false));
        }
        upstream.lastSequenceNumber = change.sequenceNumber;
        if (change.kind === "stored") {
            change.blockHashes.forEach(block => this.put(upstream, block, true));
        }
        else {
            change.blockHashes.forEach(block => upstream.blocks.delete(block));
        }
    }

    /** Removes an upstream whose engine has been restarted or removed. */
    remove(instanceId: InstanceId): void {
        this.upstreams.delete(instanceId);
    }

    /** Removes upstreams that are no longer listed. */
    retain(instanceIds: readonly InstanceId[]): void {
        const present = new Set(instanceIds);
        [...this.upstreams.keys()]
            .filter(instanceId => !present.has(instanceId))
            .forEach(instanceId => this.remove(instanceId));
    }

    /** Returns how many leading blocks an upstream probably has cached. An unconfirmed block counts as 0.5. */
    matchOf(instanceId: InstanceId, promptBlocks: readonly string[]): number {
        const blocks = this.upstreams.get(instanceId)?.blocks;
        if (blocks === undefined) {
            return 0;
        }
        const firstMissing = promptBlocks.findIndex(block => !blocks.has(block));
        const held = firstMissing === -1 ? promptBlocks : promptBlocks.slice(0, firstMissing);
        return held.reduce((sum, block) => sum + (blocks.get(block) === true ? 1 : 0.5), 0);
    }

    /** Removes an upstream whose sequence numbers drop far: its engine restarted with an empty cache. */
    private resetIfRestarted({ instanceId, sequenceNumber }: PrefixCacheChange): void {
        const last = this.upstreams.get(instanceId)?.lastSequenceNumber;
        if (last !== undefined && sequenceNumber < last - MAX_EVENT_REORDERING) {
            this.remove(instanceId);
        }
    }

    private blocksOf(instanceId: InstanceId): UpstreamBlocks {
        const blocks = this.upstreams.get(instanceId) ?? { blocks: new Map(), lastSequenceNumber: undefined };
        this.upstreams.set(instanceId, blocks);
        return blocks;
    }

    private put(upstream: UpstreamBlocks, block: string, isConfirmed: boolean): void {
        upstream.blocks.delete(block);
        upstream.blocks.set(block, isConfirmed);
        if (upstream.blocks.size > this.maxBlocks) {
            const oldest = upstream.blocks.keys().next().value!;
            upstream.blocks.delete(oldest);
        }
    }
}
