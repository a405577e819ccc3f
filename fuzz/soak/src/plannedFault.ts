import type { FaultKind } from "./faultKind.js";

/** Trouble to make at a time. */
export interface PlannedFault {
    kind: FaultKind;
    atMs: number;
    durationMs: number;
    /** In [0, 1): picks what it strikes. */
    targetFraction: number;
}
