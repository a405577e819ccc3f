import type { JobRecord } from "./jobRecord.js";

/** A job's record as it is stored. Items that don't fit into it are stored in parts of their own. */
export interface StoredJobRecord extends JobRecord {
    /** Number of items, of which the record then has none; absent if they are in the record. */
    itemCount?: number;
    /** Number of parts in which the items are stored; absent if they are in the record. */
    itemPartCount?: number;
}
