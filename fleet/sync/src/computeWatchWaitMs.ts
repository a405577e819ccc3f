/** Wait added per process, in milliseconds. Each process can report changes that a dead watch misses. */
const WAIT_PER_PROCESS_MS = 500;
/** In a small fleet a dead watch may be noticed only when its wait ends. */
const MIN_WAIT_MS = 4000;
const MAX_WAIT_MS = 20_000;

/**
 * Returns the longest wait of one watch call, in milliseconds. Larger fleets wait longer: their processes report
 * changes to each other, and the calls of all processes add up.
 */
export function computeWatchWaitMs(processCount: number): number {
    return Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, processCount * WAIT_PER_PROCESS_MS));
}
