const CHECKPOINTS_BY_ITEMS = 32;
const MIN_CHECKPOINT_ITEMS = 256;
const ELAPSED_SHARE = 1 / 16;
const MIN_INTERVAL_MS = 2000;

/**
 * Whether a job's uncommitted results are worth a write: after a 32nd of its items or a 16th of its running time, so
 * that the number of writes of a job does not grow with its items and only with the logarithm of its running time.
 */
export function isCheckpointDue(opts: {
    nowMs: number;
    startedAtMs: number;
    totalCount: number;
    uncommittedCount: number;
    /** When the first uncommitted result arrived; undefined where there is none. */
    oldestAtMs: number | undefined;
}): boolean {
    if (opts.oldestAtMs === undefined) {
        return false;
    }
    const itemLimit = Math.max(MIN_CHECKPOINT_ITEMS, Math.ceil(opts.totalCount / CHECKPOINTS_BY_ITEMS));
    const shareMs = (opts.nowMs - opts.startedAtMs) * ELAPSED_SHARE;
    const intervalMs = Math.max(MIN_INTERVAL_MS, shareMs);
    return opts.uncommittedCount >= itemLimit || opts.nowMs - opts.oldestAtMs >= intervalMs;
}
