/** What the items of a job have in common. */
export interface JobTraits {
    headers: { [name: string]: string; };
    /** Number of items; undefined for a random one. */
    items: number | undefined;
    /** Whether the job can't be run, so that it must be rejected. */
    isInvalid: boolean;
}
