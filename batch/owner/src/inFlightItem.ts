import type { Incarnation } from "@knapweedwood/core.ids/incarnation";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { PendingItem } from "./pendingItem.js";

/** An item that was handed to a gate. */
export interface InFlightItem {
    item: PendingItem;
    peer: InstanceId;
    incarnation: Incarnation;
    sinceMs: number;
    /** Since when the gate's link has been gone; undefined while it is there. */
    peerLostSinceMs: number | undefined;
}
