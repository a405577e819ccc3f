import { rendezvousRank } from "@knapweedwood/core.hashing/rendezvousRank";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";

/** Time after which the order of the processes changes, in milliseconds. */
const ORDER_VALID_MS = 1000;

/**
 * Orders the processes whose requests wait for the same upstream. Without an order all of them would send a request as soon
 * as there is room for one.
 */
export const sendTurns = {
    /** Returns the number of processes among `others` that come before `self`. */
    rankOf(
        self: InstanceName,
        others: readonly InstanceName[],
        opts: { upstreamId: UpstreamId; nowMs: number; },
    ): number {
        const period = Math.floor(opts.nowMs / ORDER_VALID_MS);
        return others.length === 0
            ? 0
            : rendezvousRank(`${opts.upstreamId} ${period}`, [self, ...others]).indexOf(self);
    },
};
