import type { Random } from "@knapweedwood/core.random/random";

/** An on/off process: on and off periods of exponential length, with Poisson arrivals at a separate rate in each. */
export interface BurstArrivalsOptions {
    onRatePerS: number;
    offRatePerS: number;
    meanOnMs: number;
    meanOffMs: number;
    durationMs: number;
    random: Random;
}
