/**
 * States that a process has every change of the keys that it mirrors: the last one was made at `revision` or before, and
 * none followed until `ageMs` ago.
 */
export interface MirrorVerification {
    /** Revision of the key-value service. */
    revision: number;
    /** Time since the key-value service said so, in milliseconds. */
    ageMs: number;
}
