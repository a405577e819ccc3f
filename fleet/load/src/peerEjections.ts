import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { LoadReport } from "./loadReport.js";

/** Detects new ejections of upstreams in the reports of peers. */
export class PeerEjections {
    private readonly ejectedBy = new Map<InstanceName, UpstreamId[]>();

    /** Returns the upstreams that the peer had not ejected in its previous report, shape [upstreams]. */
    apply(report: LoadReport): UpstreamId[] {
        const before = this.ejectedBy.get(report.instanceName) ?? [];
        this.ejectedBy.set(report.instanceName, report.ejected);
        return report.ejected.filter(id => !before.includes(id));
    }
}
