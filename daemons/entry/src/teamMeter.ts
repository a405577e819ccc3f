import type { CallAdmission } from "@knapweedwood/api.callers/callAdmission";
import { UsageMeter } from "@knapweedwood/api.operators/usageMeter";
import type { InstanceRecord } from "@knapweedwood/routing.instance-list/instanceRecord";
import { DemandShares } from "@knapweedwood/routing.limits/demandShares";
import { SharedLimiter } from "@knapweedwood/routing.limits/sharedLimiter";
import { UsageExchange } from "@knapweedwood/routing.limits/usageExchange";
import type { EntryComponents } from "./entryComponents.js";
import { LimitedAdmission } from "./limitedAdmission.js";

const DEMAND_REPORT_INTERVAL_MS = 500;

/** Enforces the limits of teams, which are shared with the other entries, and meters the usage of teams. */
export class TeamMeter {
    readonly admission: CallAdmission;
    readonly usage: UsageMeter;
    private readonly usageExchange: UsageExchange;
    private readonly components: EntryComponents;

    constructor(components: EntryComponents) {
        this.components = components;
        const { endpoint, clock, metrics } = components;
        const { instanceId, incarnation, region } = endpoint.identity;
        const shares = new DemandShares({
            entryId: instanceId,
            entryCount: () => this.liveEntries().length,
            reportIntervalMs: DEMAND_REPORT_INTERVAL_MS,
        });
        this.usageExchange = new UsageExchange({
            endpoint,
            shares,
            clock,
            reportIntervalMs: DEMAND_REPORT_INTERVAL_MS,
            entries: () => this.liveEntries(),
        });
        this.usage = new UsageMeter({ ...components, region, processName: `${instanceId}-${incarnation}` });
        this.admission = new LimitedAdmission({
            limiter: new SharedLimiter({ shares }),
            usage: this.usage,
            clock,
            metrics,
        });
    }

    start(): void {
        this.usageExchange.start();
        this.usage.start();
    }

    /** Stops and writes the usage since the last write. A failure to write is logged. */
    async stop(): Promise<void> {
        this.usageExchange.stop();
        await this.usage.stop().catch((error: unknown) => {
            this.components.logger.warn("usage-write-failed", { error: String(error) });
        });
    }

    private liveEntries(): InstanceRecord[] {
        return this.components.watcher.current().filter(record => record.kind === "entry" && record.state === "live");
    }
}
