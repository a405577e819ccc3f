import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { LoadReport } from "./loadReport.js";

/** Finds in the reports of other processes which upstreams they have ejected anew. */
export class PeerEjections {
    private readonly ejectedBy = new Map<InstanceName, UpstreamId[]>();

    /** @returns upstreams that the process had not ejected at its last report, shape [upstreams] */
    apply(report: LoadReport): UpstreamId[] {
        const before = this.ejectedBy.get(report.instanceName) ?? [];
        this.ejectedBy.set(report.instanceName, report.ejected);
        return report.ejected.filter(id => !before.includes(id));
    }
}
