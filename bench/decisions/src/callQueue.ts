import type { QueuedRequest } from "@knapweedwood/fleet.load/queuedRequest";

/** Queues the requests of one gateway and places them on upstreams. Each compared policy has an implementation. */
export interface CallQueue {
    submit(call: QueuedRequest): void;
    remove(call: QueuedRequest): void;
    dispatch(): void;
}
