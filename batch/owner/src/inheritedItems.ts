import type { HeldItem } from "@knapweedwood/batch.items/heldItem";
import type { HandedOutItem } from "@knapweedwood/batch.jobs/handedOutItem";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";
import type { ItemQueue } from "./itemQueue.js";
import type { PendingItem } from "./pendingItem.js";

/**
 * Items that gates received from an earlier owner of the partition. None is handed out again while its gate holds it.
 * An earlier owner lists them when it hands over; gates list the items that they hold in each pull.
 */
export class InheritedItems {
    private readonly queue: ItemQueue;
    /** Items whose input line has not been read yet. */
    private readonly unread: Map<number, HandedOutItem>;
    /** Items whose gate has not confirmed them: the response may have been lost with the earlier owner. */
    private readonly unconfirmed = new Map<number, HandedOutItem>();

    constructor(opts: { queue: ItemQueue; handedOut: HandedOutItem[]; }) {
        this.queue = opts.queue;
        this.unread = new Map(opts.handedOut.map(item => [item.index, item]));
    }

    isUnread(index: number): boolean {
        return this.unread.has(index);
    }

    /** Adds an item whose line was read: to the queue, or as in flight if a gate holds it. */
    add(item: PendingItem, nowMs: number): void {
        const handedOut = this.unread.get(item.index);
        if (handedOut === undefined) {
            this.queue.add(item);
            return;
        }
        this.unread.delete(item.index);
        this.unconfirmed.set(item.index, handedOut);
        this.queue.addInFlight({ ...item, attemptCount: handedOut.attempt }, handedOut, nowMs);
    }

    /**
     * Compares the items of the job that a gate holds with those that the earlier owner handed to it. Requeues items
     * that the gate does not hold. Marks the items that it holds as in flight, at the latest once their line is read.
     * Items that this owner has handed out itself are left as they are.
     */
    confirm(held: HeldItem[], peer: PeerIdentity, nowMs: number): void {
        const heldIndexes = new Set<number>(held.map(item => item.itemIndex));
        this.requeueMissing(heldIndexes, peer);
        held.forEach(item => this.confirmItem(item, peer, nowMs));
    }

    private requeueMissing(heldIndexes: Set<number>, peer: PeerIdentity): void {
        const isMissing = (item: HandedOutItem) => item.peer === peer.instanceId && !heldIndexes.has(item.index);
        [...this.unread.values()].filter(isMissing).forEach(item => this.unread.delete(item.index));
        [...this.unconfirmed.values()].filter(isMissing).forEach(({ index, attempt }) => {
            this.unconfirmed.delete(index);
            const inFlightItem = this.queue.inFlightItem(index);
            if (inFlightItem?.peer === peer.instanceId && inFlightItem.item.attemptCount === attempt) {
                this.queue.removeInFlight(index);
                this.queue.addFirst({ ...inFlightItem.item, attemptCount: attempt - 1 });
            }
        });
    }

    private confirmItem(held: HeldItem, peer: PeerIdentity, nowMs: number): void {
        const index: number = held.itemIndex;
        this.unconfirmed.delete(index);
        const handedOut = { index, peer: peer.instanceId, incarnation: peer.incarnation, attempt: held.attempt };
        const waiting = this.queue.takeUnstarted(index);
        if (waiting !== undefined) {
            this.queue.addInFlight({ ...waiting, attemptCount: held.attempt }, handedOut, nowMs);
        }
        else if (!this.queue.has(index)) {
            this.unread.set(index, handedOut);
        }
    }
}
