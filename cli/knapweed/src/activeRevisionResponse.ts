/** On how many processes a revision is in force. */
export interface ActiveRevisionResponse {
    revision: number;
    reached: number;
    total: number;
    /** Instances that have not said so, shape [instances]. */
    missing: string[];
}
