import type { SegmentReference } from "@knapweedwood/batch.segments/segmentReference";
import type { FileRecord } from "./fileRecord.js";

/** A file with its segments, as it is kept. */
export interface StoredFile {
    record: FileRecord;
    segments: SegmentReference[];
}
