/** Arrival and burst rates of the experiment's workload. */
export const workloadRates = {
    baseRatePerSecond: 20,
    burstFactor: 3,
    burstEveryMs: 5000,
    burstDurationMs: 1500,
};
