import type { KeyValueCompare } from "@knapweedwood/core.key-value/keyValueCompare";

/** The lead over something, as those who write under it see it. */
export interface FencedLeadership {
    /** Whether this process certainly leads now. */
    isLeading(): boolean;
    /** The condition that every write of the leader carries; undefined where this process doesn't lead. */
    fence(): KeyValueCompare | undefined;
    /** Gives the lead up because a write was refused. */
    stepDown(reason: string): void;
}
