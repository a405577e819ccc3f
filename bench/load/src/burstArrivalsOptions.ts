import type { Random } from "@knapweedwood/core.random/random";

/** An on/off process: exponential on and off periods, with Poisson arrivals at a rate of its own in each. */
export interface BurstArrivalsOptions {
    onRatePerS: number;
    offRatePerS: number;
    meanOnMs: number;
    meanOffMs: number;
    durationMs: number;
    random: Random;
}
