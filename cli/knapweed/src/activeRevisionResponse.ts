/** Response of the operators' API that says on how many processes a revision is active. */
export interface ActiveRevisionResponse {
    revision: number;
    reached: number;
    total: number;
    /** Instances that have not said so, shape [instances]. */
    missing: string[];
}
