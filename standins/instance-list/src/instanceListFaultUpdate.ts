/** Body of `POST /faults`. Omitted fields keep their values. */
export interface InstanceListFaultUpdate {
    /** Whether calls get a response with status 503. */
    outage?: boolean;
    /** Age of the listed state. */
    lagMs?: number;
    /** Time since its last announcement after which an instance is no longer listed. */
    ttlMs?: number;
    /** Permanently silences the connections that are open now. */
    silentConnections?: boolean;
}
