import type { Clock } from "@knapweedwood/core.clock/clock";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { UpstreamSpeeds } from "./upstreamSpeeds.js";

/** Time for which a computed mean is used, in milliseconds. The order of a queue asks for it at each comparison. */
const VALID_MS = 25;

interface MeanSlownessOptions {
    clock: Clock;
    speeds: UpstreamSpeeds;
    /** Returns the upstreams of a service that may receive requests now, shape [upstreams]. */
    usableUpstreams: (service: ServiceName) => readonly Upstream[];
}

/**
 * The mean slowness of the slots of a service. It is the harmonic mean: slots of which half take twice the time serve as
 * many requests as if all took 1.33 times the time.
 */
export class MeanSlowness {
    private readonly opts: MeanSlownessOptions;
    private readonly means = new Map<ServiceName, { mean: number; atMs: number; }>();

    constructor(opts: MeanSlownessOptions) {
        this.opts = opts;
    }

    /** Returns the mean slowness; 1 without upstreams. */
    of(service: ServiceName): number {
        const nowMs = this.opts.clock.nowMs();
        const known = this.means.get(service);
        if (known !== undefined && nowMs < known.atMs + VALID_MS) {
            return known.mean;
        }
        const upstreams = this.opts.usableUpstreams(service);
        const slots = upstreams.reduce((sum, upstream) => sum + upstream.slots, 0);
        const speed = upstreams.reduce((sum, { id, slots }) => sum + slots / this.opts.speeds.slownessOf(id), 0);
        const mean = speed === 0 ? 1 : slots / speed;
        this.means.set(service, { mean, atMs: nowMs });
        return mean;
    }
}
