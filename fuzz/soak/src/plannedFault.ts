import type { FaultKind } from "./faultKind.js";

/** A fault to inject at a given time. */
export interface PlannedFault {
    kind: FaultKind;
    /** Time after the start of the callers. */
    atMs: number;
    durationMs: number;
    /** In [0, 1): selects the target by its place among the candidates. */
    targetFraction: number;
}
