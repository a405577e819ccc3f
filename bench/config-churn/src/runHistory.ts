import type { Adoption } from "./adoption.js";
import type { ProcessRun } from "./processRun.js";

/** A process run with the revisions it adopted. */
export interface RunHistory {
    run: Pick<ProcessRun, "instanceId" | "startedAtMs" | "endedAtMs" | "pauses">;
    adoptions: Adoption[];
}
