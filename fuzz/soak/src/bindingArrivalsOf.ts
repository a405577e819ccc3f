import type { UpstreamLimitRecord } from "./upstreamLimitRecord.js";

/** Time after the first response with a limit from which it binds. */
const IN_FORCE_MS = 3000;

/** Returns the times of the requests that an upstream got while its limit bound all processes, shape [requests]. */
export function bindingArrivalsOf({ namedAtMs = Infinity, arrivedAtMs }: UpstreamLimitRecord): number[] {
    return arrivedAtMs.filter(atMs => atMs >= namedAtMs + IN_FORCE_MS);
}
