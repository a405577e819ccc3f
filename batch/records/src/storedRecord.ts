/** Record read from the key-value service, with the revision that a compare-and-swap expects. */
export interface StoredRecord<Value> {
    key: string;
    value: Value;
    modRevision: number;
}
