/** Size of a part of a job's bodies; the key-value service takes values of up to 1 MiB. */
export const PART_BYTES = 700_000;
