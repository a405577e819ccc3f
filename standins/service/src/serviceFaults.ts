import type { ServiceFaultOrder } from "./serviceFaultUpdate.js";

/** Faults that await the next calls. */
export class ServiceFaults {
    delayMs = 0;
    dieAfterNextCall = false;
    private errors = 0;
    private refusals = 0;
    private lostAnswers = 0;

    apply(order: ServiceFaultOrder): void {
        this.delayMs = order.delayMs ?? this.delayMs;
        this.dieAfterNextCall = order.dieAfterNextCall ?? this.dieAfterNextCall;
        this.errors = order.errors ?? this.errors;
        this.refusals = order.refusals ?? this.refusals;
        this.lostAnswers = order.loseAnswers ?? this.lostAnswers;
    }

    takeRefusal(): boolean {
        const isTaken = this.refusals > 0;
        this.refusals -= isTaken ? 1 : 0;
        return isTaken;
    }

    takeError(): boolean {
        const isTaken = this.errors > 0;
        this.errors -= isTaken ? 1 : 0;
        return isTaken;
    }

    takeLostAnswer(): boolean {
        const isTaken = this.lostAnswers > 0;
        this.lostAnswers -= isTaken ? 1 : 0;
        return isTaken;
    }
}
