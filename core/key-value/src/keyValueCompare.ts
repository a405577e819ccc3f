/** A condition of a transaction: the key's last change is the one expected. */
export interface KeyValueCompare {
    key: string;
    /** 0 where the key must be absent. */
    modRevision: number;
}
