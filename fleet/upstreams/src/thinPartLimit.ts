import type { Clock } from "@knapweedwood/core.clock/clock";

/** Size from which on a part of a response costs little time for its content, in bytes. */
const FULL_PART_BYTES = 32;
/** Number of parts without content that may come in a millisecond for long. */
const PARTS_PER_MS = 0.25;

/**
 * Limits the time that one response may take from all others by its parts: chunks, events and what stands between them. Each
 * part costs time, however little it carries, so that a few responses in parts of a byte occupy a process.
 *
 * Load pattern: an upstream sends chunks of one byte, comments or blank lines without end, at many requests at a time. A sound
 * response in small parts is produced token by token, which takes its time, or is short.
 */
export class ThinPartLimit {
    private readonly clock: Clock;
    private readonly burstParts: number;
    private usedParts = 0;
    private updatedAtMs: number;

    /** @param opts.burstParts number of parts without content that may come at once */
    constructor(opts: { clock: Clock; burstParts: number; }) {
        this.clock = opts.clock;
        this.burstParts = opts.burstParts;
        this.updatedAtMs = opts.clock.nowMs();
    }

    /** Counts `parts` that carry `bytes` of content together. @returns whether the response may go on */
    allows(parts: number, bytes: number): boolean {
        const thinParts = Math.max(0, parts - bytes / FULL_PART_BYTES);
        this.usedParts += thinParts;
        if (this.usedParts > this.burstParts) {
            this.refill();
        }
        return this.usedParts <= this.burstParts;
    }

    private refill(): void {
        const nowMs = this.clock.nowMs();
        this.usedParts = Math.max(0, this.usedParts - (nowMs - this.updatedAtMs) * PARTS_PER_MS);
        this.updatedAtMs = nowMs;
    }
}
