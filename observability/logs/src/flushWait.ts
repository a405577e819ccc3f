/** Time without a line being read after which a stopping process no longer waits for its reader, in milliseconds. */
const STALL_MS = 1000;
/** Longest time that a stopping process waits for a reader that is still reading, in milliseconds. */
const MAX_WAIT_MS = 2000;

/** Decides how long a stopping process waits until its last lines are read. */
export class FlushWait {
    private readonly startedAtMs: number;
    private progressAtMs: number;

    constructor(nowMs: number) {
        this.startedAtMs = nowMs;
        this.progressAtMs = nowMs;
    }

    /** Records that the reader has accepted some of the output. */
    onProgress(nowMs: number): void {
        this.progressAtMs = nowMs;
    }

    /** Returns the time for which the process still waits, in milliseconds; 0 if it gives up. */
    remainingMs(nowMs: number): number {
        const endMs = Math.min(this.progressAtMs + STALL_MS, this.startedAtMs + MAX_WAIT_MS);
        return Math.max(0, endMs - nowMs);
    }
}
