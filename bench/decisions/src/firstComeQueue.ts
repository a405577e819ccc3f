import type { QueuedRequest } from "@knapweedwood/fleet.load/queuedRequest";
import type { RequestQueue } from "@knapweedwood/fleet.load/requestQueue";
import type { CallQueue } from "./callQueue.js";

/** Serves requests in order of arrival. They wait for a slot until their callers time out, and none is rejected. */
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
