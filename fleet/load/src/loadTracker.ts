import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { LoadReport } from "./loadReport.js";
import type { UpstreamCount } from "./upstreamCount.js";

/** Time without a report after which a process counts as disconnected, in milliseconds. */
const REPORT_VALID_MS = 1500;

interface ReceivedReport {
    report: LoadReport;
    atMs: number;
}

/** Tracks the requests at each upstream over all processes: this process's counts and the last reports of its peers. */
export class LoadTracker {
    private readonly own = new Map<UpstreamId, UpstreamCount>();
    private readonly reports = new Map<InstanceName, ReceivedReport>();
    /** Sums over the valid reports, kept up to date by differences: reports arrive far more often than they expire. */
    private readonly peerCounts = new Map<UpstreamId, UpstreamCount>();
    private readonly waitingCounts = new Map<ServiceName, number>();
    /** Times at which the last batch runs of the peers at upstreams ended, in milliseconds. */
    private readonly batchEnds = new Map<UpstreamId, number>();

    /** Adds a request of this process at an upstream; a `change` of -1 removes it. */
    count(upstreamId: UpstreamId, kind: "online" | "batch", change: 1 | -1): void {
        const counts = this.own.get(upstreamId) ?? { upstreamId, online: 0, batch: 0 };
        counts[kind] = Math.max(0, counts[kind] + change);
        this.own.set(upstreamId, counts);
        if (counts.online + counts.batch === 0) {
            this.own.delete(upstreamId);
        }
    }

    /**
     * Applies a peer's report unless a newer one has been applied.
     *
     * @returns whether it was applied
     */
    apply(report: LoadReport, nowMs: number): boolean {
        const previous = this.reports.get(report.instanceName)?.report;
        if (previous !== undefined && !isNewer(report, previous)) {
            return false;
        }
        this.reports.set(report.instanceName, { report, atMs: nowMs });
        this.addToSums(report, 1);
        if (previous !== undefined) {
            this.addToSums(previous, -1);
            this.recordBatchEnds(previous, nowMs);
        }
        return true;
    }

    /** Drops reports that are no longer valid. */
    expire(nowMs: number): void {
        [...this.reports]
            .filter(([, received]) => received.atMs + REPORT_VALID_MS < nowMs)
            .forEach(([name, { report }]) => {
                this.reports.delete(name);
                this.addToSums(report, -1);
                this.recordBatchEnds(report, nowMs);
            });
        [...this.batchEnds]
            .filter(([, endedAtMs]) => endedAtMs + REPORT_VALID_MS < nowMs)
            .forEach(([id]) => this.batchEnds.delete(id));
    }

    /** Returns the number of online requests at an upstream over all processes. */
    onlineCount(upstreamId: UpstreamId): number {
        return (this.own.get(upstreamId)?.online ?? 0) + (this.peerCounts.get(upstreamId)?.online ?? 0);
    }

    /** Returns the number of batch runs at an upstream over all processes. */
    batchCount(upstreamId: UpstreamId): number {
        return (this.own.get(upstreamId)?.batch ?? 0) + (this.peerCounts.get(upstreamId)?.batch ?? 0);
    }

    /**
     * Returns the time at which the last batch run of the peers at an upstream ended, as far as it is recent, in
     * milliseconds; -infinity if there was none.
     */
    batchEndedAtMs(upstreamId: UpstreamId): number {
        return this.batchEnds.get(upstreamId) ?? -Infinity;
    }

    /** Returns the number of online requests of this process at an upstream. */
    ownOnlineCount(upstreamId: UpstreamId): number {
        return this.own.get(upstreamId)?.online ?? 0;
    }

    /** Returns the requests of this process by upstream, shape [upstreams]. */
    ownCounts(): UpstreamCount[] {
        return [...this.own.values()];
    }

    /** Returns the number of online requests of a service that are queued at peers. */
    waitingAtPeers(service: ServiceName): number {
        return this.waitingCounts.get(service) ?? 0;
    }

    /** Returns the peers in which online requests of a service are queued, shape [processes]. */
    peersWaitingFor(service: ServiceName): InstanceName[] {
        return this.waitingAtPeers(service) === 0
            ? []
            : [...this.reports.values()]
                .filter(({ report }) =>
                    report.waiting.some(waiting => waiting.service === service && waiting.count > 0)
                )
                .map(({ report }) => report.instanceName);
    }

    /** Whether the last report of a peer is valid. */
    isLive(instanceName: InstanceName): boolean {
        return this.reports.has(instanceName);
    }

    /** Returns whether any peer reports that it can reach the key-value service. */
    isKeyValueReachableByPeer(): boolean {
        return [...this.reports.values()].some(received => received.report.isKeyValueReachable);
    }

    /** Returns whether the last report of a peer, if it is valid, says that the peer can reach the key-value service. */
    isKeyValueReachableBy(instanceName: InstanceName): boolean {
        return this.reports.get(instanceName)?.report.isKeyValueReachable ?? false;
    }

    /** Adds the load of a report to the sums; a `sign` of -1 subtracts it. */
    private addToSums(report: LoadReport, sign: 1 | -1): void {
        report.counts.forEach(({ upstreamId, online, batch }) =>
            this.addCount(upstreamId, sign * online, sign * batch)
        );
        report.waiting.forEach(({ service, count }) => this.addWaiting(service, sign * count));
    }

    /** Records the upstreams at which a report that no longer counts had the last batch runs. */
    private recordBatchEnds(report: LoadReport, nowMs: number): void {
        report.counts
            .filter(({ upstreamId, batch }) => batch > 0 && (this.peerCounts.get(upstreamId)?.batch ?? 0) === 0)
            .forEach(({ upstreamId }) => this.batchEnds.set(upstreamId, nowMs));
    }

    private addCount(upstreamId: UpstreamId, online: number, batch: number): void {
        const sum = this.peerCounts.get(upstreamId) ?? { upstreamId, online: 0, batch: 0 };
        sum.online += online;
        sum.batch += batch;
        this.peerCounts.set(upstreamId, sum);
        if (sum.online === 0 && sum.batch === 0) {
            this.peerCounts.delete(upstreamId);
        }
    }

    private addWaiting(service: ServiceName, change: number): void {
        const count = (this.waitingCounts.get(service) ?? 0) + change;
        this.waitingCounts.set(service, count);
        if (count === 0) {
            this.waitingCounts.delete(service);
        }
    }
}

function isNewer(report: LoadReport, previous: LoadReport): boolean {
    return report.startedAtMs > previous.startedAtMs
        || (report.startedAtMs === previous.startedAtMs && report.sequence > previous.sequence);
}
