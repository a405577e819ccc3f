/** A process put a revision in force. */
export interface Adoption {
    revision: number;
    atMs: number;
    /** Time since the revision was published. */
    ageMs: number;
}
