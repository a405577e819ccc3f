import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import { Packr } from "msgpackr";
import type { LoadReport } from "./loadReport.js";

/** Values in the order in which they are packed, without their names: reports are frequent and cross zones. */
type PackedReport = [
    instanceName: string,
    startedAtMs: number,
    sequence: number,
    counts: (string | number)[],
    waiting: (string | number)[],
    configurationRevision: number,
    jobsRevision: number,
];

/** Packs load reports into datagrams. */
export class LoadReportCodec {
    private readonly packr = new Packr({ useRecords: false });

    encode(report: LoadReport): Buffer {
        const packed: PackedReport = [
            report.instanceName,
            report.startedAtMs,
            report.sequence,
            report.counts.flatMap(count => [count.upstreamId, count.online, count.batch]),
            report.waiting.flatMap(waiting => [waiting.service, waiting.count]),
            report.configurationRevision,
            report.jobsRevision,
        ];
        return this.packr.pack(packed);
    }

    /** Throws where the bytes are no report. */
    decode(bytes: Buffer): LoadReport {
        const [instanceName, startedAtMs, sequence, counts, waiting, configurationRevision, jobsRevision] = this.packr
            .unpack(bytes) as PackedReport;
        return {
            instanceName: instanceName as InstanceName,
            startedAtMs,
            sequence,
            counts: groupsOf(counts, 3).map(([upstreamId, online, batch]) => ({
                upstreamId: upstreamId as UpstreamId,
                online: online as number,
                batch: batch as number,
            })),
            waiting: groupsOf(waiting, 2).map(([service, count]) => ({
                service: service as ServiceName,
                count: count as number,
            })),
            configurationRevision,
            jobsRevision,
        };
    }
}

function groupsOf<Value>(values: readonly Value[], size: number): Value[][] {
    return Array.from({ length: values.length / size }, (_, index) => values.slice(index * size, (index + 1) * size));
}
