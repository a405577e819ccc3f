import type { QueuedRequest } from "@knapweedwood/fleet.load/queuedRequest";

/** Where requests of one gateway wait and are placed: the way that is compared. */
export interface CallQueue {
    submit(call: QueuedRequest): void;
    remove(call: QueuedRequest): void;
    dispatch(): void;
}
