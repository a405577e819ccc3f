import type { FencingNumber } from "@knapweedwood/core.ids/fencingNumber";
import type { FileId } from "@knapweedwood/core.ids/fileId";
import type { HandedOutItem } from "./handedOutItem.js";
import type { ItemHistory } from "./itemHistory.js";
import type { ItemRange } from "./itemRange.js";
import type { JobState } from "./jobState.js";
import type { ResultSegment } from "./resultSegment.js";

/**
 * Progress of a job. A job is completed or cancelled only by a write of this record. Times are milliseconds since the
 * Unix epoch.
 */
export interface JobProgress {
    state: JobState;
    /** Unique to each write, so that reading the record shows whether a write with a lost response took effect. */
    writeId: string;
    /** Fencing number of the partition owner that wrote the record; 0 until an owner has written it. */
    fencingNumber: FencingNumber;
    totalCount: number;
    completedCount: number;
    failedCount: number;
    /** Items with a committed result. */
    finished: ItemRange[];
    /** Items whose calls must not be repeated, committed before the items are handed out. */
    claimed: ItemRange[];
    results: ResultSegment[];
    histories: ItemHistory[];
    /** Items that gates held when the partition was last handed over. */
    handedOut: HandedOutItem[];
    checkpointCount: number;
    startedAtMs: number | undefined;
    finishedAtMs: number | undefined;
    cancelledAtMs: number | undefined;
    outputFileId: FileId | undefined;
    errorFileId: FileId | undefined;
    errors: { code: string; message: string; line?: number; }[];
}
