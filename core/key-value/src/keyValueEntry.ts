/** A key with its value. */
export interface KeyValueEntry {
    key: string;
    value: Uint8Array;
    /** Revision of the last change of this key; 0 is never used and stands for "absent" in comparisons. */
    modRevision: number;
    leaseId: string | undefined;
}
