import type { FencingNumber } from "@knapweedwood/core.ids/fencingNumber";
import type { FileId } from "@knapweedwood/core.ids/fileId";
import type { HandedOutItem } from "./handedOutItem.js";
import type { ItemHistory } from "./itemHistory.js";
import type { ItemRange } from "./itemRange.js";
import type { JobState } from "./jobState.js";
import type { ResultSegment } from "./resultSegment.js";

/** How far a job has come: the one commit point for "completed" and "cancelled". */
export interface JobProgress {
    state: JobState;
    /** Unique to each write, so that a lost answer can be settled by reading. */
    writeId: string;
    /** Fencing number of the partition's owner that wrote it; 0 before the first. */
    fencingNumber: FencingNumber;
    totalCount: number;
    completedCount: number;
    failedCount: number;
    /** Items with a committed result. */
    finished: ItemRange[];
    /** Items of calls that may not be repeated, committed before they are handed out. */
    claimed: ItemRange[];
    results: ResultSegment[];
    histories: ItemHistory[];
    /** Items that were at gates when the partition was last handed over. */
    handedOut: HandedOutItem[];
    checkpointCount: number;
    startedAtMs: number | undefined;
    finishedAtMs: number | undefined;
    cancelledAtMs: number | undefined;
    outputFileId: FileId | undefined;
    errorFileId: FileId | undefined;
    errors: { code: string; message: string; line?: number; }[];
}
