import type { ServiceName } from "@knapweedwood/core.ids/serviceName";

const INITIAL_MEAN_MS = 500;
/** Weight of the newest request in the mean. */
const NEWEST_WEIGHT = 0.05;

/** Mean times for which requests hold a slot. */
export class HoldTimes {
    private readonly means = new Map<ServiceName, number>();

    record(service: ServiceName, holdMs: number): void {
        const mean = this.meanMs(service);
        this.means.set(service, mean + (holdMs - mean) * NEWEST_WEIGHT);
    }

    meanMs(service: ServiceName): number {
        return this.means.get(service) ?? INITIAL_MEAN_MS;
    }
}
