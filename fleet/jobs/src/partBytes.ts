/** Size of a part of a job's bodies or items, in bytes. The key-value service accepts values of up to 1 MiB. */
export const PART_BYTES = 700_000;
