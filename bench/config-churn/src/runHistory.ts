import type { Adoption } from "./adoption.js";
import type { ProcessRun } from "./processRun.js";

/** A process run and the configuration revisions that it adopted. */
export interface RunHistory {
    run: Pick<ProcessRun, "instanceId" | "startedAtMs" | "endedAtMs" | "pauses">;
    /** In the order of the log, shape [adoptions]. */
    adoptions: Adoption[];
}
