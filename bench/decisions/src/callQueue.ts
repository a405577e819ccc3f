import type { WaitingCall } from "@knapweedwood/fleet.load/waitingCall";

/** Where requests of one gateway wait and are placed: the way that is compared. */
export interface CallQueue {
    enter(call: WaitingCall): void;
    leave(call: WaitingCall): void;
    pump(): void;
}
