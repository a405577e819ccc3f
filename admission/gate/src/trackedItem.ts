import type { BatchItem } from "@knapweedwood/batch.items/batchItem";
import type { ResumePoint } from "@knapweedwood/engines.model-engine/resumePoint";
import type { BatchKey } from "./batchKey.js";
import type { BatchRun } from "./batchRun.js";
import type { WorkSize } from "./gateState.js";

/** A batch item at the gate, waiting or running. */
export interface TrackedItem {
    key: BatchKey;
    item: BatchItem;
    size: WorkSize;
    /** Output of earlier streams, from which the next one resumes; undefined to start from the prompt. */
    resumeFrom: ResumePoint | undefined;
    /** Whether an earlier stream of it at this gate was cancelled after the first token. */
    isResumed: boolean;
    waitingSinceMs: number;
    /** Undefined while the item waits. */
    run: BatchRun | undefined;
}
