/** Body of `POST /faults`. Omitted fields keep their values. */
export interface InstanceListFaultUpdate {
    outage?: boolean;
    lagMs?: number;
    ttlMs?: number;
    /** If true, silences the connections that are open now, for good. */
    silentConnections?: boolean;
}
