import type { Metrics } from "./metrics.js";

/** Metrics that go nowhere. */
export const silentMetrics: Metrics = {
    increment: () => undefined,
    gauge: () => undefined,
    timing: () => undefined,
};
