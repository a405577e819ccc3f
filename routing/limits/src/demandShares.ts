import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import { DemandRate } from "./demandRate.js";
import type { LimitShares } from "./limitShares.js";
import type { PrincipalId } from "./principalId.js";
import type { UsageReport } from "./usageReport.js";

interface DemandSharesOptions {
    entryId: InstanceId;
    /** Number of entries of the fleet that share the limits, including this one. */
    entryCount: () => number;
    /** Time between reports, in milliseconds. */
    reportIntervalMs: number;
}

interface PeerUsage {
    receivedAtMs: number;
    /** Demand in the last report and in the one before it. */
    pressures: Map<PrincipalId, number>;
    previousPressures: Map<PrincipalId, number>;
}

interface OwnUsage {
    demand: DemandRate;
    /** Demand in the last report and in the one before it; undefined until then. */
    reported: number | undefined;
    previouslyReported: number | undefined;
}

/** Share of each limit that is divided evenly, independent of reports. */
const RESERVED_SHARE = 0.1;
const REPORTS_UNTIL_STALE = 4;

/**
 * Divides limits in proportion to the demand that entries report to each other, without a central counter.
 *
 * A tenth of a limit is divided evenly, so that demand within it needs no report. The rest is divided by reported
 * demand. An entry uses the smaller of its own last two reports and the larger of each peer's last two. If reports
 * arrive within an interval, the shares therefore never add up to more than 1. The exception is an entry that has
 * demand but has not reported it twice yet: it gets an even share of the whole limit.
 */
export class DemandShares implements LimitShares {
    private readonly opts: DemandSharesOptions;
    private readonly own = new Map<PrincipalId, OwnUsage>();
    private readonly peers = new Map<InstanceId, PeerUsage>();

    constructor(opts: DemandSharesOptions) {
        this.opts = opts;
    }

    get entryCount(): number {
        return Math.max(1, this.opts.entryCount());
    }

    onDemand(principalId: PrincipalId, limitShare: number, nowMs: number): void {
        const usage = this.own.get(principalId)
            ?? { demand: new DemandRate(), reported: undefined, previouslyReported: undefined };
        usage.demand.add(limitShare, nowMs);
        this.own.set(principalId, usage);
    }

    shareOf(principalId: PrincipalId, nowMs: number): number {
        const usage = this.own.get(principalId);
        const evenShare = RESERVED_SHARE / this.entryCount;
        if (usage === undefined) {
            return evenShare;
        }
        if (usage.reported === undefined || usage.previouslyReported === undefined) {
            return 1 / this.entryCount;
        }
        const ownPressure = Math.min(usage.reported, usage.previouslyReported);
        const totalPressure = ownPressure + this.peerPressure(principalId, nowMs);
        return evenShare + (totalPressure === 0 ? 0 : (1 - RESERVED_SHARE) * ownPressure / totalPressure);
    }

    /**
     * Returns the report to send to the other entries now. Removes teams and keys that were last reported without
     * demand and whose demand is below half of their even share.
     */
    report(nowMs: number): UsageReport {
        const minPressure = RESERVED_SHARE / this.entryCount;
        this.own.forEach((usage, principalId) => {
            const demand = usage.demand.valueAt(nowMs);
            const pressure = demand < minPressure ? 0 : demand;
            if (demand < minPressure / 2 && (usage.reported ?? 0) === 0) {
                this.own.delete(principalId);
            }
            if (pressure > 0 || usage.reported !== undefined) {
                usage.previouslyReported = usage.reported;
                usage.reported = pressure;
            }
        });
        const usages = [...this.own]
            .map(([principalId, { reported }]) => ({ principalId, pressure: reported ?? 0 }))
            .filter(({ pressure }) => pressure > 0);
        return { entryId: this.opts.entryId, usages };
    }

    onReport(report: UsageReport, nowMs: number): void {
        if (report.entryId === this.opts.entryId) {
            return;
        }
        this.peers.set(report.entryId, {
            receivedAtMs: nowMs,
            pressures: new Map(report.usages.map(({ principalId, pressure }) => [principalId, pressure])),
            previousPressures: this.peers.get(report.entryId)?.pressures ?? new Map(),
        });
    }

    private peerPressure(principalId: PrincipalId, nowMs: number): number {
        const staleBeforeMs = nowMs - this.opts.reportIntervalMs * REPORTS_UNTIL_STALE;
        return [...this.peers.values()]
            .filter(peer => peer.receivedAtMs >= staleBeforeMs)
            .map(peer => Math.max(peer.pressures.get(principalId) ?? 0, peer.previousPressures.get(principalId) ?? 0))
            .reduce((sum, pressure) => sum + pressure, 0);
    }
}
