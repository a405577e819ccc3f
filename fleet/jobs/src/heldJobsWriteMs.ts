/** Time after an outage in which jobs that were held on disks are written, in milliseconds. */
export const HELD_JOBS_WRITE_MS = 4000;
