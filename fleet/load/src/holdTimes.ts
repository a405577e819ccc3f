import type { ServiceName } from "@knapweedwood/core.ids/serviceName";

const INITIAL_MEAN_MS = 500;
/** Weight of the newest request in the exponential moving average. */
const NEWEST_WEIGHT = 0.05;

/** Tracks the mean time for which requests hold a slot, by service. */
export class HoldTimes {
    private readonly means = new Map<ServiceName, number>();

    /** Records the time for which one request held its slot, in milliseconds. */
    record(service: ServiceName, holdMs: number): void {
        const mean = this.meanMs(service);
        this.means.set(service, mean + (holdMs - mean) * NEWEST_WEIGHT);
    }

    /** Returns the mean hold time in milliseconds; the initial value for a service without requests. */
    meanMs(service: ServiceName): number {
        return this.means.get(service) ?? INITIAL_MEAN_MS;
    }
}
