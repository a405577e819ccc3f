import type { JudgedLife } from "./judgedLife.js";

/** A process counts for a revision when it had been up for this long before it was published. */
const JOINED_MS = 5_000;
/** And was not resumed within this time before. */
const RESUMED_MS = 1_000;

/**
 * Time from the publish of a revision until each undisturbed process had it or a higher one, in milliseconds; processes
 * that were starting, paused or killed meanwhile are left out. Infinite for one that never had it.
 *
 * @returns shape [undisturbed processes]
 */
export function revisionLatencies(
    opts: { revision: number; publishedAtMs: number; lives: readonly JudgedLife[]; endMs: number; },
): number[] {
    return opts.lives.flatMap(judged => {
        const reached = judged.adoptions.find(adoption => adoption.revision >= opts.revision);
        const reachedAtMs = reached?.atMs ?? Infinity;
        return isUndisturbed(judged, opts.publishedAtMs, Math.min(reachedAtMs, opts.endMs))
            ? [Math.max(0, reachedAtMs - opts.publishedAtMs)]
            : [];
    });
}

function isUndisturbed({ life }: JudgedLife, fromMs: number, untilMs: number): boolean {
    const isUp = life.startedAtMs + JOINED_MS <= fromMs && (life.endedAtMs ?? Infinity) > untilMs;
    const isPaused = life.pauses.some(pause => pause.fromMs <= untilMs && pause.untilMs + RESUMED_MS >= fromMs);
    return isUp && !isPaused;
}
