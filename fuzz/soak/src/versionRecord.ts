/** A configuration of the operators. */
export interface VersionRecord {
    version: number;
    writtenAtMs: number;
    ackedAtMs: number;
}
