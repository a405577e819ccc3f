import type { Adoption } from "./adoption.js";
import type { ProcessRun } from "./processRun.js";

/** A life with the revisions it had in force. */
export interface RunHistory {
    run: Pick<ProcessRun, "instanceId" | "startedAtMs" | "endedAtMs" | "pauses">;
    adoptions: Adoption[];
}
