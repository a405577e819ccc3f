import type { ResumePoint } from "@knapweedwood/engines.model-engine/resumePoint";
import type { InputLine } from "./inputLine.js";
import type { ServiceView } from "./serviceView.js";

/** An item that waits for an upstream. */
export interface PendingItem {
    index: number;
    line: InputLine;
    service: ServiceView;
    /** Number of attempts started so far. */
    attemptCount: number;
    /** Earliest time of the next attempt. */
    notBeforeMs: number;
    resumeFrom: ResumePoint | undefined;
}
