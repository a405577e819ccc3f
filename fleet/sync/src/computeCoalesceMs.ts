/** Pause added per process, in milliseconds. Every process makes a call for every change that isn't gathered. */
const PAUSE_PER_PROCESS_MS = 6;
const MIN_PAUSE_MS = 100;
/** Part of the time in which a change has to reach every process. */
const MAX_PAUSE_MS = 500;

/**
 * Returns the time for which changes of processes and upstreams are gathered, in milliseconds. They often start, leave
 * or expire in groups. In a larger fleet there are more changes, and each costs more calls.
 */
export function computeCoalesceMs(processCount: number): number {
    return Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, processCount * PAUSE_PER_PROCESS_MS));
}
