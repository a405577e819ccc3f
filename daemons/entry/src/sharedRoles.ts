import { ClaimService } from "@knapweedwood/batch.claims/claimService";
import { BatchRole } from "@knapweedwood/batch.owner/batchRole";
import type { SegmentStore } from "@knapweedwood/batch.segments/segmentStore";
import { PlannerTask } from "@knapweedwood/placement.planner/plannerTask";
import { configuredServices } from "./configuredServices.js";
import type { EntryComponents } from "./entryComponents.js";

/** Roles that entries share by leases: owner of batch partitions, owner of claims, and planner of the region. */
export class SharedRoles {
    readonly claims: ClaimService;
    private readonly batchRole: BatchRole;
    private readonly planner: PlannerTask;

    /** @param opts.address where this entry accepts links, as `host:port` */
    constructor(components: EntryComponents, opts: { segmentStore: SegmentStore; address: string; }) {
        const { settings, configuration, endpoint, watcher } = components;
        const shared = {
            ...components,
            instanceId: endpoint.identity.instanceId,
            address: () => opts.address,
            segmentStore: opts.segmentStore,
        };
        this.batchRole = new BatchRole({
            ...shared,
            partitionCount: settings.batch.partitionCount,
            retentionMs: settings.batch.retentionMs,
            services: configuredServices(configuration),
            teamWeight: teamId => configuration.current()?.team(teamId)?.weight ?? 1,
        });
        this.claims = new ClaimService({ ...shared, shardCount: settings.batch.partitionCount });
        this.planner = new PlannerTask({
            ...components,
            instances: () => watcher.current(),
            demands: () => [],
            maxConcurrentLoads: settings.placement.maxConcurrentLoads,
        });
    }

    start(): void {
        this.batchRole.start();
        this.claims.start();
        this.planner.start();
    }

    /** Stops the roles and hands them over to other entries. */
    async stop(): Promise<void> {
        await this.batchRole.stop();
        await this.claims.stop();
        await this.planner.stop();
    }
}
