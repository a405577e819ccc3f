import type { UpstreamLimit } from "./upstreamLimit.js";

/** A limit as a report of a process tells it. */
export type AnnouncedLimit = Omit<UpstreamLimit, "observedAtMs"> & {
    /** Time since the response that named the limit, or none, in milliseconds. */
    ageMs: number;
};
