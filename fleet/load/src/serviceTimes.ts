import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import { MovingMean } from "./movingMean.js";

/** Assumed before the first request of a service has ended, in milliseconds. Only decides how long a queue may get. */
const INITIAL_HOLD_MS = 500;

/** Tracks how long requests hold a slot and how long their first data takes, by service. */
export class ServiceTimes {
    private readonly holds = new Map<ServiceName, MovingMean>();
    private readonly firstData = new Map<ServiceName, MovingMean>();

    /** Records the time for which one request held its slot, in milliseconds. */
    recordHold(service: ServiceName, holdMs: number): void {
        meanOf(this.holds, service).add(holdMs);
    }

    /** Records the time from the placement of one request to its first data, in milliseconds. */
    recordFirstData(service: ServiceName, delayMs: number): void {
        meanOf(this.firstData, service).add(delayMs);
    }

    /** Returns the mean hold time in milliseconds. */
    meanHoldMs(service: ServiceName): number {
        return this.holds.get(service)?.value ?? INITIAL_HOLD_MS;
    }

    /** Returns the mean time to the first data in milliseconds; 0 before there was any, so that nothing is rejected. */
    meanFirstDataMs(service: ServiceName): number {
        return this.firstData.get(service)?.value ?? 0;
    }
}

function meanOf(means: Map<ServiceName, MovingMean>, service: ServiceName): MovingMean {
    const mean = means.get(service) ?? new MovingMean();
    means.set(service, mean);
    return mean;
}
