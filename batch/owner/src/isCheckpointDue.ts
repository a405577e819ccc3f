const CHECKPOINTS_BY_ITEMS = 32;
const MIN_CHECKPOINT_ITEMS = 256;
const ELAPSED_SHARE = 1 / 16;
const MIN_INTERVAL_MS = 2000;

/**
 * Returns whether to commit a job's uncommitted results: after a 32nd of its items or a 16th of its running time. The
 * number of writes then does not grow with the number of items, and only logarithmically with the running time.
 */
export function isCheckpointDue(opts: {
    nowMs: number;
    startedAtMs: number;
    totalCount: number;
    uncommittedCount: number;
    /** When the first uncommitted result arrived; undefined if there is none. */
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
