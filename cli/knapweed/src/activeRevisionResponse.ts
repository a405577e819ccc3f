/** Response of the operators' API about the active revision: on how many processes it is active. */
export interface ActiveRevisionResponse {
    revision: number;
    reached: number;
    total: number;
    /** Instances that have not reported the revision as active, shape [instances]. */
    missing: string[];
}
