import type { Clock } from "@knapweedwood/core.clock/clock";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { ActiveConfiguration } from "@knapweedwood/fleet.view/activeConfiguration";
import type { Route } from "@knapweedwood/fleet.view/route";
import type { JobItem } from "./jobItem.js";
import type { JobRecord } from "./jobRecord.js";
import type { OpenJob } from "./openJob.js";

interface MatchedItem {
    /** Version of the configuration that was matched. */
    version: number;
    service: ServiceName | undefined;
}

interface MissingRoute {
    sinceMs: number;
    /** Version of the configuration in which the route was last looked for. */
    version: number;
}

interface ItemRoutesOptions {
    clock: Clock;
    configuration: ActiveConfiguration;
    /** Makes the stored configuration the active one. Resolves to whether the active one is certain to be current. */
    refreshConfiguration: () => Promise<boolean>;
}

/** Minimum time between reads of the stored configuration while a route is missing, in milliseconds. */
const REFRESH_INTERVAL_MS = 1000;

/** Finds the services that run items, and records since when the routes of jobs are missing. */
export class ItemRoutes {
    private readonly opts: ItemRoutesOptions;
    /** Every dispatch looks at every pending item, so an item is matched once per version. */
    private readonly matched = new WeakMap<JobItem, MatchedItem>();
    private readonly missing = new Map<JobId, MissingRoute>();
    /** Time at which the active configuration was last certain to be current, on the clock. */
    private currentAtMs = -Infinity;
    private lastRefreshAtMs = -Infinity;
    private isRefreshing = false;

    constructor(opts: ItemRoutesOptions) {
        this.opts = opts;
    }

    /** Returns the service that runs the item; undefined if its route is missing. */
    serviceOf(job: OpenJob, item: JobItem): ServiceName | undefined {
        const { version } = this.opts.configuration;
        const known = this.matched.get(item);
        if (known?.version === version) {
            return known.service;
        }
        const service = this.match(job, item);
        this.matched.set(item, { version, service });
        return service;
    }

    /**
     * Unix ms since which the route of a job is missing; infinity if it isn't. Time in which the active configuration may
     * have been outdated doesn't count: a watch may lag behind the configuration under which a job was accepted.
     */
    missingSinceMs(jobId: JobId): number {
        const missing = this.missing.get(jobId);
        if (missing === undefined) {
            return Infinity;
        }
        void this.refresh();
        const uncertainMs = this.opts.clock.nowMs() - this.currentAtMs;
        return missing.version === this.opts.configuration.version ? missing.sinceMs + uncertainMs : Infinity;
    }

    /** Removes what is known about an ended job. */
    forget(jobId: JobId): void {
        this.missing.delete(jobId);
    }

    private async refresh(): Promise<void> {
        const startedAtMs = this.opts.clock.nowMs();
        if (this.isRefreshing || startedAtMs < this.lastRefreshAtMs + REFRESH_INTERVAL_MS) {
            return;
        }
        this.isRefreshing = true;
        this.lastRefreshAtMs = startedAtMs;
        if (await this.opts.refreshConfiguration().catch(() => false)) {
            this.currentAtMs = startedAtMs;
        }
        this.isRefreshing = false;
    }

    private match({ record }: OpenJob, item: JobItem): ServiceName | undefined {
        const { configuration, clock } = this.opts;
        const route = this.routeOf(record, item);
        if (route !== undefined) {
            this.missing.delete(record.jobId);
            return route.services[0]?.service;
        }
        if (configuration.current !== undefined) {
            const sinceMs = this.missing.get(record.jobId)?.sinceMs ?? clock.nowMs();
            this.missing.set(record.jobId, { sinceMs, version: configuration.version });
        }
        return undefined;
    }

    /**
     * Returns the batch route of an item: the one on which its job was accepted, whatever other routes its path matches. A
     * configuration that has no such route any more may have others for the path, as where a route was split.
     */
    private routeOf({ routeName, host }: JobRecord, item: JobItem): Route | undefined {
        const { configuration } = this.opts;
        const path = item.record.path.split("?", 1)[0]!;
        return [configuration.routeNamed(routeName), configuration.match(host, path)].find(isBatch);
    }
}

function isBatch(route: Route | undefined): boolean {
    return route?.kind === "batch";
}
