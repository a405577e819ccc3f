/** Share of the wait for each process that would tell of a change which a silent watch misses, in milliseconds. */
const WAIT_PER_PROCESS_MS = 500;
/** Few processes find a silent watch by its end. */
const MIN_WAIT_MS = 4000;
const MAX_WAIT_MS = 20_000;

/** How long one watch call may wait: in a large fleet processes tell one another of changes, and calls add up. */
export function computeWatchWaitMs(processCount: number): number {
    return Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, processCount * WAIT_PER_PROCESS_MS));
}
