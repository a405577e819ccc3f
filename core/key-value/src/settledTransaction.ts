import type { KeyValueEntry } from "./keyValueEntry.js";

/** What became of a transaction. */
export type SettledTransaction =
    | { kind: "succeeded"; revision: number; }
    /** A comparison failed, and the transaction never took effect. `current` as in {@link TransactionResult}. */
    | { kind: "failed"; current: KeyValueEntry[]; }
    /** It may have taken effect, and what it wrote may have been replaced since. */
    | { kind: "unknown"; };
