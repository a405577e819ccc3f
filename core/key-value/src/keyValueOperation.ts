/** A change made by a transaction. */
export type KeyValueOperation =
    | { kind: "put"; key: string; value: Uint8Array; leaseId?: string; }
    | { kind: "delete"; key: string; };
