import type { Metrics } from "./metrics.js";

/** Metrics that discard all values. */
export const silentMetrics: Metrics = {
    increment: () => undefined,
    gauge: () => undefined,
    timing: () => undefined,
};
