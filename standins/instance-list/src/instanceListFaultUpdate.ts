/** Body of `POST /faults`. Omitted fields keep their values. */
export interface InstanceListFaultUpdate {
    outage?: boolean;
    lagMs?: number;
    ttlMs?: number;
    /** Makes the connections that are open now go silent for good. */
    silentConnections?: boolean;
}
