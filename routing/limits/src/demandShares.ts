import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import { DemandRate } from "./demandRate.js";
import type { LimitShares } from "./limitShares.js";
import type { PrincipalId } from "./principalId.js";
import type { UsageReport } from "./usageReport.js";

interface DemandSharesOptions {
    entryId: InstanceId;
    /** Entries of the fleet that share the limits, this one among them. */
    entryCount: () => number;
    /** Time between reports, in milliseconds. */
    reportIntervalMs: number;
}

interface PeerUsage {
    receivedAtMs: number;
    /** As last reported and as reported before that. */
    pressures: Map<PrincipalId, number>;
    previousPressures: Map<PrincipalId, number>;
}

interface OwnUsage {
    demand: DemandRate;
    /** As last reported and as reported before that; undefined before the reports. */
    reported: number | undefined;
    previouslyReported: number | undefined;
}

/** Part of each limit that is divided evenly, without agreement. */
const RESERVED_SHARE = 0.1;
const REPORTS_UNTIL_STALE = 4;

/**
 * Divides limits in proportion to the demand that entries report to each other, without a central counter.
 *
 * A tenth of a limit is divided evenly, so that demand within that needs no report; the rest goes by reported demand. An
 * entry counts itself by the smaller of its last two reports and the others by the larger of theirs: where reports
 * arrive within an interval, the shares never add up to more than 1. Only whoever has not reported twice yet gets an
 * even part ahead of agreement.
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

    /** What to tell the other entries now. Forgets whoever asks for less than its even part. */
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
