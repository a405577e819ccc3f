import type { RunHistory } from "./runHistory.js";

/** A process counts for a revision if it had been running for this long when the revision was published. */
const MIN_UPTIME_MS = 5_000;
/** A process does not count if it was resumed within this time before the publish. */
const RESUME_GRACE_MS = 1_000;

/**
 * Returns the time from the publish of a revision until each undisturbed process adopted it or a higher one, in
 * milliseconds. Processes that were starting, paused or killed meanwhile are excluded. The time is `Infinity` for an
 * undisturbed process that never adopted the revision.
 *
 * @returns shape [undisturbed processes]
 */
export function revisionLatencies(
    opts: { revision: number; publishedAtMs: number; histories: readonly RunHistory[]; endMs: number; },
): number[] {
    return opts.histories.flatMap(history => {
        const reached = history.adoptions.find(adoption => adoption.revision >= opts.revision);
        const reachedAtMs = reached?.atMs ?? Infinity;
        return isUndisturbed(history, opts.publishedAtMs, Math.min(reachedAtMs, opts.endMs))
            ? [Math.max(0, reachedAtMs - opts.publishedAtMs)]
            : [];
    });
}

function isUndisturbed({ run }: RunHistory, fromMs: number, untilMs: number): boolean {
    const isUp = run.startedAtMs + MIN_UPTIME_MS <= fromMs && (run.endedAtMs ?? Infinity) > untilMs;
    const isPaused = run.pauses.some(pause => pause.fromMs <= untilMs && pause.untilMs + RESUME_GRACE_MS >= fromMs);
    return isUp && !isPaused;
}
