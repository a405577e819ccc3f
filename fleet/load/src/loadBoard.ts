import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { LoadReport } from "./loadReport.js";
import type { UpstreamCount } from "./upstreamCount.js";

/** Time after which a process that reports nothing counts as gone, in milliseconds. */
const REPORT_VALID_MS = 1500;

interface ReceivedReport {
    report: LoadReport;
    atMs: number;
}

/** Requests at each upstream over all processes: the own counts, and what the others last reported. */
export class LoadBoard {
    private readonly own = new Map<UpstreamId, UpstreamCount>();
    private readonly reports = new Map<InstanceName, ReceivedReport>();
    private readonly others = new Map<UpstreamId, UpstreamCount>();

    /** Counts a request of this process at an upstream in, or out with `change` -1. */
    count(upstreamId: UpstreamId, kind: "online" | "batch", change: 1 | -1): void {
        const known = this.own.get(upstreamId) ?? { upstreamId, online: 0, batch: 0 };
        known[kind] = Math.max(0, known[kind] + change);
        this.own.set(upstreamId, known);
        if (known.online + known.batch === 0) {
            this.own.delete(upstreamId);
        }
    }

    /** @returns whether the report is news */
    receive(report: LoadReport, nowMs: number): boolean {
        const known = this.reports.get(report.instanceName)?.report;
        if (known !== undefined && !isNewer(report, known)) {
            return false;
        }
        this.reports.set(report.instanceName, { report, atMs: nowMs });
        this.sumOthers();
        return true;
    }

    /** Drops the reports of processes that fell silent. */
    expire(nowMs: number): void {
        const silent = [...this.reports].filter(([, received]) => received.atMs + REPORT_VALID_MS < nowMs);
        silent.forEach(([name]) => this.reports.delete(name));
        if (silent.length > 0) {
            this.sumOthers();
        }
    }

    online(upstreamId: UpstreamId): number {
        return (this.own.get(upstreamId)?.online ?? 0) + (this.others.get(upstreamId)?.online ?? 0);
    }

    batch(upstreamId: UpstreamId): number {
        return (this.own.get(upstreamId)?.batch ?? 0) + (this.others.get(upstreamId)?.batch ?? 0);
    }

    /** Online requests of this process at an upstream. */
    ownOnline(upstreamId: UpstreamId): number {
        return this.own.get(upstreamId)?.online ?? 0;
    }

    /** Requests of this process, shape [upstreams]. */
    ownCounts(): UpstreamCount[] {
        return [...this.own.values()];
    }

    /** Online requests of a service that wait at other processes. */
    waitingElsewhere(service: ServiceName): number {
        return [...this.reports.values()]
            .flatMap(received => received.report.waiting)
            .filter(waiting => waiting.service === service)
            .reduce((sum, waiting) => sum + waiting.count, 0);
    }

    /** Whether another process says that the key-value service answers it. */
    isAnyoneInTouch(): boolean {
        return [...this.reports.values()].some(received => received.report.isInTouch);
    }

    private sumOthers(): void {
        this.others.clear();
        [...this.reports.values()].flatMap(received => received.report.counts).forEach(count => {
            const sum = this.others.get(count.upstreamId) ?? { upstreamId: count.upstreamId, online: 0, batch: 0 };
            sum.online += count.online;
            sum.batch += count.batch;
            this.others.set(count.upstreamId, sum);
        });
    }
}

function isNewer(report: LoadReport, known: LoadReport): boolean {
    return report.startedAtMs > known.startedAtMs
        || (report.startedAtMs === known.startedAtMs && report.sequence > known.sequence);
}
