import type { ServiceFaultUpdate } from "./serviceFaultUpdate.js";

/** Faults that apply to subsequent calls. Each `consume` method uses up one fault and returns whether there was one. */
export class ServiceFaults {
    delayMs = 0;
    dieAfterNextCall = false;
    private errors = 0;
    private rejections = 0;
    private lostResponses = 0;

    apply(update: ServiceFaultUpdate): void {
        this.delayMs = update.delayMs ?? this.delayMs;
        this.dieAfterNextCall = update.dieAfterNextCall ?? this.dieAfterNextCall;
        this.errors = update.errors ?? this.errors;
        this.rejections = update.refusals ?? this.rejections;
        this.lostResponses = update.loseAnswers ?? this.lostResponses;
    }

    consumeRejection(): boolean {
        const isConsumed = this.rejections > 0;
        this.rejections -= isConsumed ? 1 : 0;
        return isConsumed;
    }

    consumeError(): boolean {
        const isConsumed = this.errors > 0;
        this.errors -= isConsumed ? 1 : 0;
        return isConsumed;
    }

    consumeLostResponse(): boolean {
        const isConsumed = this.lostResponses > 0;
        this.lostResponses -= isConsumed ? 1 : 0;
        return isConsumed;
    }
}
