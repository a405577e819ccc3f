import type { BatchItem } from "@knapweedwood/batch.items/batchItem";
import type { PullItemsRequest } from "@knapweedwood/batch.items/pullItemsRequest";
import type { Incarnation } from "@knapweedwood/core.ids/incarnation";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";

interface PullEntry {
    incarnation: Incarnation;
    pullNumber: number;
    answer: Promise<BatchItem[]>;
}

/** Remembers each gate's last pull, so that a repeated request gets the same items and a lost answer loses none. */
export class PullLedger {
    private readonly entries = new Map<InstanceId, PullEntry>();
    private readonly giveBack: (items: BatchItem[], peer: PeerIdentity) => void;

    /** @param opts.giveBack returns items whose answer did not arrive to their queue */
    constructor(opts: { giveBack: (items: BatchItem[], peer: PeerIdentity) => void; }) {
        this.giveBack = opts.giveBack;
    }

    async answer(
        request: PullItemsRequest,
        peer: PeerIdentity,
        handOut: () => Promise<BatchItem[]>,
    ): Promise<BatchItem[]> {
        const { pullNumber, receivedNumber = 0 } = request;
        if (pullNumber === undefined) {
            return await handOut();
        }
        const last = this.lastOf(peer);
        if (last !== undefined && pullNumber <= last.pullNumber) {
            return pullNumber === last.pullNumber ? await last.answer : [];
        }
        const answer = this.settle(last, receivedNumber, peer).then(handOut);
        this.entries.set(peer.instanceId, { incarnation: peer.incarnation, pullNumber, answer });
        return await answer;
    }

    private lastOf(peer: PeerIdentity): PullEntry | undefined {
        const last = this.entries.get(peer.instanceId);
        return last?.incarnation === peer.incarnation ? last : undefined;
    }

    private async settle(last: PullEntry | undefined, receivedNumber: number, peer: PeerIdentity): Promise<void> {
        if (last !== undefined && receivedNumber < last.pullNumber) {
            this.giveBack(await last.answer.catch(() => []), peer);
        }
    }
}
