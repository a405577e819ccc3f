/** Adoption of a configuration revision by a process. */
export interface Adoption {
    revision: number;
    /** Time of the adoption, in milliseconds since the epoch. */
    atMs: number;
    /** Time from the publish to the adoption. */
    ageMs: number;
}
