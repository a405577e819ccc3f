import { CLOCK_MARGIN_MS } from "./clockMarginMs.js";
import type { JobRecord } from "./jobRecord.js";

/** Time for which a route has to be missing before its items are given up, in milliseconds. */
const ROUTE_MISSING_TIMEOUT_MS = 3000;

/**
 * Returns why the items of a job that have no result are given up; undefined if they are not.
 *
 * @param opts.nowMs current time, Unix ms
 * @param opts.missingSinceMs time since which the job's route is missing, Unix ms; infinity if it isn't
 */
export function giveUpReason(
    { expiresAtMs }: JobRecord,
    opts: { nowMs: number; missingSinceMs: number; },
): "expired" | "route-missing" | undefined {
    if (opts.nowMs > expiresAtMs + CLOCK_MARGIN_MS) {
        return "expired";
    }
    return opts.nowMs > opts.missingSinceMs + ROUTE_MISSING_TIMEOUT_MS ? "route-missing" : undefined;
}
