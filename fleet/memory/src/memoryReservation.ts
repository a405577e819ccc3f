import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { MemoryBudget } from "./memoryBudget.js";

/** The bytes that a process holds for one call: the body of its request and the part of its response not sent yet. */
export class MemoryReservation {
    private readonly budget: MemoryBudget;
    private readonly teamId: TeamId | undefined;
    private requestBytes = 0;
    private responseBytes = 0;

    constructor(opts: { budget: MemoryBudget; teamId: TeamId | undefined; }) {
        this.budget = opts.budget;
        this.teamId = opts.teamId;
    }

    /** Adds a part of the body of the request. @returns whether it fits; if not, it isn't counted */
    tryAddRequestBytes(bytes: number): boolean {
        const fits = this.budget.tryAdd(this.teamId, bytes);
        this.requestBytes += fits ? bytes : 0;
        return fits;
    }

    /** Sets the size of the part of the response that is held. @returns whether it fits; a part that doesn't isn't counted */
    trySetResponseBytes(bytes: number): boolean {
        const change = bytes - this.responseBytes;
        if (change > 0 && !this.budget.tryAdd(this.teamId, change)) {
            return false;
        }
        if (change < 0) {
            this.budget.remove(this.teamId, -change);
        }
        this.responseBytes = bytes;
        return true;
    }

    /** Releases all bytes. */
    release(): void {
        this.budget.remove(this.teamId, this.requestBytes + this.responseBytes);
        this.requestBytes = 0;
        this.responseBytes = 0;
    }
}
