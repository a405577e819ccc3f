import type { BatchItem } from "@knapweedwood/batch.items/batchItem";
import type { PullItemsRequest } from "@knapweedwood/batch.items/pullItemsRequest";
import type { Incarnation } from "@knapweedwood/core.ids/incarnation";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";

interface TrackedPull {
    incarnation: Incarnation;
    pullNumber: number;
    items: Promise<BatchItem[]>;
}

/** Keeps each gate's last pull: a repeated request gets the same items, and items of a lost response are requeued. */
export class PullTracker {
    private readonly lastPulls = new Map<InstanceId, TrackedPull>();
    private readonly requeue: (items: BatchItem[], peer: PeerIdentity) => void;

    /** @param opts.requeue puts items whose response did not arrive back into their queue */
    constructor(opts: { requeue: (items: BatchItem[], peer: PeerIdentity) => void; }) {
        this.requeue = opts.requeue;
    }

    /**
     * Returns the items for a pull, shape [0..count]: those of `handOut` for a new pull, the same items again for a
     * repeated one, and none for an older one. A pull without a number is not tracked.
     */
    async respond(
        request: PullItemsRequest,
        peer: PeerIdentity,
        handOut: () => Promise<BatchItem[]>,
    ): Promise<BatchItem[]> {
        const { pullNumber, receivedNumber = 0 } = request;
        if (pullNumber === undefined) {
            return await handOut();
        }
        const last = this.lastPullOf(peer);
        if (last !== undefined && pullNumber <= last.pullNumber) {
            return pullNumber === last.pullNumber ? await last.items : [];
        }
        const items = this.requeueUndelivered(last, receivedNumber, peer).then(handOut);
        this.lastPulls.set(peer.instanceId, { incarnation: peer.incarnation, pullNumber, items });
        return await items;
    }

    private lastPullOf(peer: PeerIdentity): TrackedPull | undefined {
        const last = this.lastPulls.get(peer.instanceId);
        return last?.incarnation === peer.incarnation ? last : undefined;
    }

    private async requeueUndelivered(
        last: TrackedPull | undefined,
        receivedNumber: number,
        peer: PeerIdentity,
    ): Promise<void> {
        if (last !== undefined && receivedNumber < last.pullNumber) {
            this.requeue(await last.items.catch(() => []), peer);
        }
    }
}
