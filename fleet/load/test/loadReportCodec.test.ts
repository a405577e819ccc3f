import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
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
};

test("decodes an encoded report unchanged", () => {
    const codec = new LoadReportCodec();
    assert.deepEqual(codec.decode(codec.encode(report)), report);
});

test("throws when the bytes are not a report", () => {
    assert.throws(() => new LoadReportCodec().decode(Buffer.from([0x01])));
});
