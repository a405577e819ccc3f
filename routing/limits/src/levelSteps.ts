/** Steps per request in which the levels of buckets are reported. */
export const LEVEL_STEPS = 10;
