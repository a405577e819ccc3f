import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import { Packr } from "msgpackr";
import type { EncodedReport } from "./encodedReport.js";
import { groupsOf } from "./groupsOf.js";
import type { LoadMessage } from "./loadMessage.js";
import type { LoadReport } from "./loadReport.js";
import { slownessCode } from "./slownessCode.js";
import { type PackedTeamUsage, teamUsageCodec } from "./teamUsageCodec.js";
import type { UpstreamSpeed } from "./upstreamSpeed.js";
import { type PackedUpstreamUsage, upstreamUsageCodec } from "./upstreamUsageCodec.js";
import { verificationsCodec } from "./verificationsCodec.js";

/** Values in their packed order. They are packed without names, since reports are frequent and cross zones. */
type PackedReport = [
    instanceName: string,
    startedAtMs: number,
    sequence: number,
    counts: (string | number)[],
    waiting: (string | number)[],
    configurationRevision: number,
    jobsRevision: number,
    upstreamsRevision: number,
    leaderName: string,
    leaderFencingNumber: number,
    isKeyValueReachable: boolean,
    ejected: string[],
    teamUsage?: PackedTeamUsage,
    /** Pairs of an index in the counts and a code of the slowness; missing if there are none. */
    speeds?: number[],
    /** Missing if there is nothing to report. */
    upstreamUsage?: PackedUpstreamUsage,
    /** Missing if there are none. */
    leaving?: (string | number)[],
    /** Missing if there are none. */
    verifications?: number[],
];

/** Reports that a relay hands on, each packed. The second value tells it from a report. */
type PackedRelay = [sender: string, reports: Buffer[]];

/** Index of the first revision in a packed report. */
const REVISIONS_AT = 5;
/** Indexes of the values in a packed report that may be missing. */
const SPEEDS_AT = 13;
const UPSTREAM_USAGE_AT = 14;
const LEAVING_AT = 15;
const VERIFICATIONS_AT = 16;
/** Maximum total size of the reports in one datagram. It fits an Ethernet frame, since one lost fragment loses all. */
const MAX_RELAYED_BYTES = 1300;

/** Encodes load reports as msgpack datagrams. */
export class LoadReportCodec {
    private readonly packr = new Packr({ useRecords: false });

    /** Encodes a report. */
    encode(report: LoadReport): Buffer {
        const packed: PackedReport = [
            report.instanceName,
            report.startedAtMs,
            report.sequence,
            report.counts.flatMap(count => [count.upstreamId, count.online, count.batch]),
            report.waiting.flatMap(waiting => [waiting.service, waiting.count]),
            report.configurationRevision,
            report.jobsRevision,
            report.upstreamsRevision,
            report.leader?.instanceName ?? "",
            report.leader?.fencingNumber ?? 0,
            report.isKeyValueReachable,
            report.ejected,
            teamUsageCodec.pack(report.teamUsage),
        ];
        if (report.speeds !== undefined && report.speeds.length > 0) {
            packed[SPEEDS_AT] = packedSpeedsOf(report);
        }
        const upstreamUsage = upstreamUsageCodec.pack(report.upstreamUsage);
        if (upstreamUsage.length > 0) {
            packed[SPEEDS_AT] ??= [];
            packed[UPSTREAM_USAGE_AT] = upstreamUsage;
        }
        if (report.leaving.length > 0) {
            packed[SPEEDS_AT] ??= [];
            packed[UPSTREAM_USAGE_AT] ??= [];
            packed[LEAVING_AT] = report.leaving.flatMap(({ id, startedAtMs }) => [id, startedAtMs]);
        }
        const verifications = verificationsCodec.pack(report.verifications ?? {});
        if (verifications.length > 0) {
            packed[SPEEDS_AT] ??= [];
            packed[UPSTREAM_USAGE_AT] ??= [];
            packed[LEAVING_AT] ??= [];
            packed[VERIFICATIONS_AT] = verifications;
        }
        return this.packr.pack(packed);
    }

    /** Encodes reports that a relay hands on, in as many datagrams as they need, at least one, shape [datagrams]. */
    encodeRelayed(sender: InstanceName, reports: readonly EncodedReport[]): Buffer[] {
        const groups: Buffer[][] = [[]];
        let sizeBytes = 0;
        reports.forEach(({ bytes }) => {
            sizeBytes += bytes.length;
            if (sizeBytes > MAX_RELAYED_BYTES && groups.at(-1)!.length > 0) {
                groups.push([]);
                sizeBytes = bytes.length;
            }
            groups.at(-1)!.push(bytes);
        });
        return groups.map(group => this.packr.pack([sender, group] satisfies PackedRelay));
    }

    /** Decodes a datagram. Throws if its bytes are neither a report nor relayed reports. */
    decodeMessage(bytes: Buffer): LoadMessage {
        const packed = this.packr.unpack(bytes) as PackedReport | PackedRelay;
        if (!isRelay(packed)) {
            return { kind: "direct", report: { report: toReport(packed), bytes } };
        }
        const [sender, reports] = packed;
        return {
            kind: "relayed",
            sender: sender as InstanceName,
            reports: reports.map(one => ({ report: toReport(this.packr.unpack(one) as PackedReport), bytes: one })),
        };
    }
}

function isRelay(packed: PackedReport | PackedRelay): packed is PackedRelay {
    return Array.isArray(packed[1]);
}

function toReport(packed: PackedReport): LoadReport {
    const [instanceName, startedAtMs, sequence, counts, waiting] = packed;
    const [
        configurationRevision,
        jobsRevision,
        upstreamsRevision,
        leaderName,
        fencingNumber,
        isKeyValueReachable,
        ejected,
        teamUsage,
    ] = packed
        .slice(REVISIONS_AT) as [
            number,
            number,
            number,
            string,
            number,
            boolean,
            UpstreamId[],
            PackedTeamUsage | undefined,
        ];
    const upstreamCounts = groupsOf(counts, 3).map(([upstreamId, online, batch]) => ({
        upstreamId: upstreamId as UpstreamId,
        online: online as number,
        batch: batch as number,
    }));
    const speeds = speedsOf(packed[SPEEDS_AT], upstreamCounts);
    const verifications = packed[VERIFICATIONS_AT];
    return {
        instanceName: instanceName as InstanceName,
        startedAtMs,
        sequence,
        isKeyValueReachable,
        ejected,
        counts: upstreamCounts,
        waiting: groupsOf(waiting, 2).map(([service, count]) => ({
            service: service as ServiceName,
            count: count as number,
        })),
        configurationRevision,
        jobsRevision,
        upstreamsRevision,
        leader: fencingNumber === 0 ? undefined : { instanceName: leaderName as InstanceName, fencingNumber },
        ...speeds.length > 0 ? { speeds } : {},
        teamUsage: teamUsageCodec.unpack(teamUsage),
        upstreamUsage: upstreamUsageCodec.unpack(packed[UPSTREAM_USAGE_AT]),
        leaving: groupsOf(packed[LEAVING_AT] ?? [], 2).map(([id, processStartedAtMs]) => ({
            id: id as UpstreamId,
            startedAtMs: processStartedAtMs as number,
        })),
        ...verifications === undefined ? {} : { verifications: verificationsCodec.unpack(verifications) },
    };
}

/** Returns the speeds of a report as pairs of an index in its counts and a code, shape [2 * speeds]. */
function packedSpeedsOf({ counts, speeds = [] }: LoadReport): number[] {
    const indexes = new Map(counts.map(({ upstreamId }, index) => [upstreamId, index]));
    return speeds.flatMap(({ upstreamId, slowness }) => {
        const index = indexes.get(upstreamId);
        return index === undefined ? [] : [index, slownessCode.encode(slowness)];
    });
}

function speedsOf(packed: readonly number[] | undefined, counts: LoadReport["counts"]): UpstreamSpeed[] {
    return groupsOf(packed ?? [], 2).flatMap(([index, code]) => {
        const count = counts[index!];
        return count === undefined ? [] : [{ upstreamId: count.upstreamId, slowness: slownessCode.decode(code!) }];
    });
}
