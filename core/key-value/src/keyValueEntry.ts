/** A key and its value. */
export interface KeyValueEntry {
    key: string;
    value: Uint8Array;
    /** Revision of the last change of this key. It is never 0, which means "absent" in comparisons. */
    modRevision: number;
    leaseId: string | undefined;
}
