/** Wait added per process, in milliseconds. The calls of all processes add up. */
const WAIT_PER_PROCESS_MS = 500;
const MIN_WAIT_MS = 8000;
/** Waits vary by half, and the service accepts 30 s at most. */
const MAX_WAIT_MS = 20_000;

/**
 * Returns the mean wait of one watch call, in milliseconds. Larger fleets wait longer, since the calls of all processes add
 * up. A dead watch is found by checks, not when its wait ends.
 */
export function computeWatchWaitMs(processCount: number): number {
    return Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, processCount * WAIT_PER_PROCESS_MS));
}
