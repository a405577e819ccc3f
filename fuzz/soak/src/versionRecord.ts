/** A configuration that an operator wrote, with the times of the write and of its acknowledgement. */
export interface VersionRecord {
    version: number;
    writtenAtMs: number;
    ackedAtMs: number;
}
