import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamChooser } from "@knapweedwood/routing.choice/upstreamChooser";

/** Holds one upstream chooser per service, created on the first call to the service. */
export class ServiceChoosers {
    private readonly create: () => UpstreamChooser;
    private readonly choosers = new Map<ServiceName, UpstreamChooser>();

    constructor(opts: { create: () => UpstreamChooser; }) {
        this.create = opts.create;
    }

    /** Returns the chooser of a service, which is created on the first call. */
    getOrCreate(service: ServiceName): UpstreamChooser {
        const chooser = this.choosers.get(service) ?? this.create();
        this.choosers.set(service, chooser);
        return chooser;
    }
}
