import type { QueuedRequest } from "@knapweedwood/fleet.load/queuedRequest";
import type { RequestQueue } from "@knapweedwood/fleet.load/requestQueue";
import type { CallQueue } from "./callQueue.js";

/** First come, first served: requests wait for a slot as long as their callers do, and none is refused before. */
export class FirstComeQueue implements CallQueue {
    private readonly requestQueue: RequestQueue;

    constructor(requestQueue: RequestQueue) {
        this.requestQueue = requestQueue;
    }

    submit(call: QueuedRequest): void {
        this.requestQueue.submit(Object.assign(call, { objectiveAtMs: Infinity, isRetry: false }));
    }

    remove(call: QueuedRequest): void {
        this.requestQueue.remove(call);
    }

    dispatch(): void {
        this.requestQueue.dispatch();
    }
}
