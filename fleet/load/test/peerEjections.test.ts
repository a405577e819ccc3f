import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { LoadReport } from "../src/loadReport.js";
import { PeerEjections } from "../src/peerEjections.js";

function reportOf(instanceName: string, ejected: string[]): LoadReport {
    return { instanceName: instanceName as InstanceName, ejected: ejected as UpstreamId[] } as LoadReport;
}

test("returns an ejection once for each process, and again after it ended", () => {
    const ejections = new PeerEjections();
    const received = [
        reportOf("a", ["u"]),
        reportOf("a", ["u", "v"]),
        reportOf("b", ["u"]),
        reportOf("a", []),
        reportOf("a", ["u"]),
    ].map(report => ejections.apply(report));
    assert.deepEqual(received, [["u"], ["v"], ["u"], [], ["u"]]);
});
