import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Timer } from "@knapweedwood/core.clock/timer";
import type { Dispatcher } from "undici";
import type { PartBudget } from "./partBudget.js";

/** Number of parts that a response takes from the budget at once, since each pause costs time too. */
const PARTS_AT_ONCE = 1000;
/** Time between two attempts to take parts from the budget, in milliseconds. */
const RETRY_INTERVAL_MS = 50;

/** Pauses and resumes the reading of a response: for its reader, and until the budget has parts for it. */
export class ReadingGate {
    controller: Dispatcher.DispatchController | undefined;
    private readonly clock: Clock;
    private readonly budget: PartBudget;
    private isPausedByReader = false;
    /** Parts that may still be read of those taken from the budget. */
    private partsLeft = 0;
    private timer: Timer | undefined;

    constructor(opts: { clock: Clock; budget: PartBudget; }) {
        this.clock = opts.clock;
        this.budget = opts.budget;
    }

    pause(): void {
        this.isPausedByReader = true;
        this.controller?.pause();
    }

    resume(): void {
        this.isPausedByReader = false;
        this.resumeIfFree();
    }

    /** Counts a part of a response that comes in too many small parts. Pauses until the budget has more. */
    onTinyPart(): void {
        this.partsLeft -= 1;
        if (this.partsLeft < 0 && !this.takeParts()) {
            this.controller?.pause();
            this.timer ??= this.clock.setTimer(RETRY_INTERVAL_MS, () => this.retry());
        }
    }

    /** Stops reading, also of what the connection has received already. */
    stop(): void {
        this.controller?.pause();
        this.close();
    }

    /** Ends all pauses, as the response has ended. */
    close(): void {
        this.timer?.cancel();
        this.controller = undefined;
    }

    private takeParts(): boolean {
        const isTaken = this.budget.tryTake(PARTS_AT_ONCE);
        this.partsLeft = isTaken ? PARTS_AT_ONCE : 0;
        return isTaken;
    }

    private retry(): void {
        if (this.controller !== undefined && !this.takeParts()) {
            this.timer = this.clock.setTimer(RETRY_INTERVAL_MS, () => this.retry());
            return;
        }
        this.timer = undefined;
        this.resumeIfFree();
    }

    private resumeIfFree(): void {
        if (!this.isPausedByReader && this.timer === undefined) {
            this.controller?.resume();
        }
    }
}
