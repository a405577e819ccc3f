import type { SegmentReference } from "@knapweedwood/batch.segments/segmentReference";
import type { FileRecord } from "./fileRecord.js";

/** File and its segments, as stored in the key-value service. */
export interface StoredFile {
    record: FileRecord;
    segments: SegmentReference[];
}
