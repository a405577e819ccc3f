/** Response of the operators' API about the processes on which a revision is active. */
export interface ActiveRevisionResponse {
    revision: number;
    /** Number of processes on which the revision, or a higher one, is active. */
    reached: number;
    /** Number of all processes of the region. */
    total: number;
    /** Instances that have not reported the revision as active, shape [instances]. */
    missing: string[];
}
