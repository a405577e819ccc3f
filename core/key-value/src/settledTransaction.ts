import type { KeyValueEntry } from "./keyValueEntry.js";

/** Outcome of a transaction after lost responses were resolved. */
export type SettledTransaction =
    | { kind: "succeeded"; revision: number; }
    /** A comparison failed, and the transaction never took effect. `current` as in {@link TransactionResult}. */
    | { kind: "failed"; current: KeyValueEntry[]; }
    /** The transaction may have taken effect, and other writes may have replaced its values since. */
    | { kind: "unknown"; };
