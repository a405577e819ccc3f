import type { Incarnation } from "@knapweedwood/core.ids/incarnation";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { PendingItem } from "./pendingItem.js";

/** An item that was handed to a gate and has no result yet. */
export interface InFlightItem {
    item: PendingItem;
    peer: InstanceId;
    incarnation: Incarnation;
    sinceMs: number;
    /** Since when the gate has been disconnected; undefined while it is connected. */
    peerLostSinceMs: number | undefined;
}
