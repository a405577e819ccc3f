import type { FencingNumber } from "@knapweedwood/core.ids/fencingNumber";
import { jobChart } from "./jobChart.js";
import type { JobProgress } from "./jobProgress.js";

/** Returns the progress of a newly accepted job. */
export function initialProgress(writeId: string): JobProgress {
    return {
        state: jobChart.initial,
        writeId,
        fencingNumber: 0 as FencingNumber,
        totalCount: 0,
        completedCount: 0,
        failedCount: 0,
        finished: [],
        claimed: [],
        results: [],
        histories: [],
        handedOut: [],
        checkpointCount: 0,
        startedAtMs: undefined,
        finishedAtMs: undefined,
        cancelledAtMs: undefined,
        outputFileId: undefined,
        errorFileId: undefined,
        errors: [],
    };
}
