import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { UpstreamUsage } from "./upstreamUsage.js";

/** The part of a process's report that concerns limits of upstreams. */
export interface UpstreamUsageReport {
    instanceName: InstanceName;
    /** Start of the process, Unix ms. */
    startedAtMs: number;
    /** Increases with each report since the start. */
    sequence: number;
    upstreamUsage: UpstreamUsage;
}
