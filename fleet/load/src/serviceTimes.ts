import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import { MovingMean } from "./movingMean.js";

/** Assumed before the first request of a service has ended, in milliseconds. Only decides how long a queue may get. */
const INITIAL_HOLD_MS = 500;

interface ServiceTimesOptions {
    /** Returns the mean slowness of a service's usable upstreams, weighted by the requests that they can serve. */
    meanSlowness?: (service: ServiceName) => number;
}

/**
 * Tracks how long requests hold a slot and how long their first data takes, by service. The means follow changes of the
 * upstreams' speeds and of the set of usable upstreams before requests have ended that were affected by them.
 */
export class ServiceTimes {
    private readonly meanSlowness: (service: ServiceName) => number;
    /** Mean slowness at the times when holds were recorded. */
    private readonly slowness = new Map<ServiceName, MovingMean>();
    private readonly holds = new Map<ServiceName, MovingMean>();
    private readonly firstData = new Map<ServiceName, MovingMean>();

    constructor(opts: ServiceTimesOptions = {}) {
        this.meanSlowness = opts.meanSlowness ?? (() => 1);
    }

    /** Records the time for which one request held its slot, in milliseconds. */
    recordHold(service: ServiceName, holdMs: number): void {
        meanOf(this.holds, service).add(holdMs);
        meanOf(this.slowness, service).add(this.meanSlowness(service));
    }

    /** Records the time from the placement of one request to its first data, in milliseconds. */
    recordFirstData(service: ServiceName, delayMs: number): void {
        meanOf(this.firstData, service).add(delayMs);
    }

    /** Returns the mean hold time in milliseconds. */
    meanHoldMs(service: ServiceName): number {
        return (this.holds.get(service)?.value ?? INITIAL_HOLD_MS) * this.change(service);
    }

    /** Returns the mean time to the first data in milliseconds; 0 before there was any, so that nothing is rejected. */
    meanFirstDataMs(service: ServiceName): number {
        return (this.firstData.get(service)?.value ?? 0) * this.change(service);
    }

    /** Returns the ratio of the present slowness to that under which the means were recorded. */
    private change(service: ServiceName): number {
        const recorded = this.slowness.get(service)?.value;
        return recorded === undefined ? 1 : this.meanSlowness(service) / recorded;
    }
}

function meanOf(means: Map<ServiceName, MovingMean>, service: ServiceName): MovingMean {
    const mean = means.get(service) ?? new MovingMean();
    means.set(service, mean);
    return mean;
}
