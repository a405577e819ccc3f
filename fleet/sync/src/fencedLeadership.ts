import type { KeyValueCompare } from "@knapweedwood/core.key-value/keyValueCompare";

/** Leadership as seen by the code that writes to the key-value service on behalf of the leader. */
export interface FencedLeadership {
    /** Returns true only while this process is certain to be the leader. */
    isLeading(): boolean;
    /** Returns the compare that guards every write of the leader; undefined while this process is not the leader. */
    fence(): KeyValueCompare | undefined;
    /** Gives up the leadership whose fence guarded a rejected write, if this process still has it. */
    stepDown(fence: KeyValueCompare, reason: string): void;
}
