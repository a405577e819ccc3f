import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import { Packr } from "msgpackr";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { LoadReport } from "../src/loadReport.js";
import { LoadReportCodec } from "../src/loadReportCodec.js";

const report: LoadReport = {
    instanceName: "entry-1" as InstanceName,
    startedAtMs: 1_777_167_943_056,
    sequence: 7,
    isKeyValueReachable: true,
    ejected: ["u-2" as UpstreamId],
    counts: [
        { upstreamId: "u-1" as UpstreamId, online: 3, batch: 4 },
        { upstreamId: "u-2" as UpstreamId, online: 0, batch: 1 },
    ],
    waiting: [{ service: "s" as ServiceName, count: 2 }],
    configurationRevision: 12,
    jobsRevision: 40,
    upstreamsRevision: 38,
    leader: { instanceName: "runner-1" as InstanceName, fencingNumber: 31 },
    teamUsage: {
        counts: [{ id: "team-1" as TeamId, admitted: 312, recentlyAdmitted: 4 }],
        levels: [{ teamId: "team-2" as TeamId, level: 7.3 }],
        areLevelsComplete: true,
    },
    upstreamUsage: {
        counts: [{ id: "u-1" as UpstreamId, admitted: 90, recentlyAdmitted: 3 }],
        limits: [
            { upstreamId: "u-1" as UpstreamId, startedAtMs: 1_777_167_900_000, requestsPerSecond: 2.25, ageMs: 40 },
            { upstreamId: "u-2" as UpstreamId, startedAtMs: 0, requestsPerSecond: undefined, ageMs: 0 },
        ],
    },
    leaving: [{ id: "u-3" as UpstreamId, startedAtMs: 1_777_167_900_000 }],
    verifications: { operators: { revision: 12, ageMs: 40 }, processes: { revision: 31, ageMs: 900 } },
};

test("decodes an encoded report unchanged", () => {
    const codec = new LoadReportCodec();
    const bytes = codec.encode(report);
    const message = codec.decodeMessage(bytes);
    assert.deepEqual(message.kind === "direct" && message.report.report, report);
});

test("decodes a report of a version without the usage of teams", () => {
    const codec = new LoadReportCodec();
    const packr = new Packr({ useRecords: false });
    const packed = packr.unpack(codec.encode(report)) as unknown[];
    const message = codec.decodeMessage(packr.pack(packed.slice(0, 12)));
    const teamUsage = { counts: [], levels: [], areLevelsComplete: false };
    const upstreamUsage = { counts: [], limits: [] };
    const { verifications, ...earlier } = report;
    assert.ok(verifications !== undefined);
    assert.deepEqual(message.kind === "direct" && message.report.report, {
        ...earlier,
        teamUsage,
        upstreamUsage,
        leaving: [],
    });
});

test("decodes relayed reports unchanged, in datagrams that fit a frame", () => {
    const codec = new LoadReportCodec();
    const reports = Array.from({ length: 40 }, (_, sequence) => {
        const one = { ...report, sequence };
        return { report: one, bytes: codec.encode(one) };
    });
    const sender = "relay" as InstanceName;
    const datagrams = codec.encodeRelayed(sender, reports);
    assert.ok(datagrams.every(bytes => bytes.length <= 1400));
    const messages = datagrams.map(bytes => codec.decodeMessage(bytes));
    const decoded = messages.flatMap(message => message.kind === "relayed" ? message.reports : []);
    assert.deepEqual(decoded.map(one => one.report), reports.map(one => one.report));
    assert.deepEqual(decoded.map(one => one.bytes.toString("hex")), reports.map(one => one.bytes.toString("hex")));
    assert.equal(codec.encodeRelayed(sender, []).length, 1, "a relay without reports still shows that it is running");
});

test("throws when the bytes are not a report", () => {
    assert.throws(() => new LoadReportCodec().decodeMessage(Buffer.from([0x01])));
});
