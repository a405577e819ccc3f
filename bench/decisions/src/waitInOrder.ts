import type { QueuedRequest } from "@knapweedwood/fleet.load/queuedRequest";
import type { RequestQueue } from "@knapweedwood/fleet.load/requestQueue";
import type { CallQueue } from "./callQueue.js";

/** First come, first served: requests wait for a slot as long as their callers do, and none is refused before. */
export class WaitInOrder implements CallQueue {
    private readonly room: RequestQueue;

    constructor(room: RequestQueue) {
        this.room = room;
    }

    submit(call: QueuedRequest): void {
        this.room.submit(Object.assign(call, { objectiveAtMs: Infinity, isRetry: false }));
    }

    remove(call: QueuedRequest): void {
        this.room.remove(call);
    }

    dispatch(): void {
        this.room.dispatch();
    }
}
