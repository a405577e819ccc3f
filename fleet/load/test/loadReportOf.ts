import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { LoadReport } from "../src/loadReport.js";

/** Returns the report of a process without load, with changes. */
export function loadReportOf(change: Partial<LoadReport>): LoadReport {
    return {
        instanceName: "other" as InstanceName,
        startedAtMs: 1,
        sequence: 1,
        isKeyValueReachable: true,
        ejected: [],
        counts: [],
        waiting: [],
        configurationRevision: 0,
        jobsRevision: 0,
        upstreamsRevision: 0,
        leader: undefined,
        teamUsage: { counts: [], levels: [], areLevelsComplete: false },
        upstreamUsage: { counts: [], limits: [] },
        leaving: [],
        ...change,
    };
}
