/** A condition of a transaction: the revision of the key's last change must equal `modRevision`. */
export interface KeyValueCompare {
    key: string;
    /** 0 requires that the key is absent. */
    modRevision: number;
}
