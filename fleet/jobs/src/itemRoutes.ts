import type { Clock } from "@knapweedwood/core.clock/clock";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { ActiveConfiguration } from "@knapweedwood/fleet.view/activeConfiguration";
import type { JobItem } from "./jobItem.js";
import type { OpenJob } from "./openJob.js";

interface MatchedItem {
    /** Version of the configuration that was matched. */
    version: number;
    service: ServiceName | undefined;
}

/** Finds the services that run items, and records since when the routes of jobs are missing. */
export class ItemRoutes {
    private readonly clock: Clock;
    private readonly configuration: ActiveConfiguration;
    /** Every dispatch looks at every pending item, so an item is matched once per version. */
    private readonly matched = new WeakMap<JobItem, MatchedItem>();
    private readonly missingSince = new Map<JobId, number>();

    constructor(opts: { clock: Clock; configuration: ActiveConfiguration; }) {
        this.clock = opts.clock;
        this.configuration = opts.configuration;
    }

    /** Returns the service that runs the item; undefined if its route is missing. */
    serviceOf(job: OpenJob, item: JobItem): ServiceName | undefined {
        const { version } = this.configuration;
        const known = this.matched.get(item);
        if (known?.version === version) {
            return known.service;
        }
        const service = this.match(job, item);
        this.matched.set(item, { version, service });
        return service;
    }

    /** Unix ms since which the route of a job is missing; infinity if it isn't. */
    missingSinceMs(jobId: JobId): number {
        return this.missingSince.get(jobId) ?? Infinity;
    }

    /** Removes what is known about an ended job. */
    forget(jobId: JobId): void {
        this.missingSince.delete(jobId);
    }

    private match({ record }: OpenJob, item: JobItem): ServiceName | undefined {
        const path = item.record.path.split("?", 1)[0]!;
        const route = this.configuration.match(record.host, path);
        if (route?.kind === "batch") {
            this.missingSince.delete(record.jobId);
            return route.services[0]?.service;
        }
        if (this.configuration.current !== undefined && !this.missingSince.has(record.jobId)) {
            this.missingSince.set(record.jobId, this.clock.nowMs());
        }
        return undefined;
    }
}
