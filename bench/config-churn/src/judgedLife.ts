import type { Adoption } from "./adoption.js";
import type { Life } from "./life.js";

/** A life with the revisions it had in force. */
export interface JudgedLife {
    life: Pick<Life, "instanceId" | "startedAtMs" | "endedAtMs" | "pauses">;
    adoptions: Adoption[];
}
