import type { WaitingCall } from "@knapweedwood/fleet.load/waitingCall";
import type { WaitingRoom } from "@knapweedwood/fleet.load/waitingRoom";
import type { CallQueue } from "./callQueue.js";

/** First come, first served: requests wait for a slot as long as their callers do, and none is refused before. */
export class WaitInOrder implements CallQueue {
    private readonly room: WaitingRoom;

    constructor(room: WaitingRoom) {
        this.room = room;
    }

    enter(call: WaitingCall): void {
        this.room.enter(Object.assign(call, { objectiveAtMs: Infinity, isReturned: false }));
    }

    leave(call: WaitingCall): void {
        this.room.leave(call);
    }

    pump(): void {
        this.room.pump();
    }
}
