/**
 * Time for which a removed job keeps its tombstone, in milliseconds. A copy on a disk that is older than this is dropped,
 * since it can't be told whether its job was removed.
 */
export const TOMBSTONE_RETENTION_MS = 24 * 60 * 60 * 1000;
