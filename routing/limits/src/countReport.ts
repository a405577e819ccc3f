import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { RequestCount } from "./requestCount.js";

/** The counts in a report of a process. */
export interface CountReport<Id extends string> {
    instanceName: InstanceName;
    /** Start of the process, Unix ms. Its counts start again with it. */
    startedAtMs: number;
    /** Increases with each report since the start. */
    sequence: number;
    /** Shape [counts]. */
    counts: RequestCount<Id>[];
}
