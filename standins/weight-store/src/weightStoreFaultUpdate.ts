/** Body of `POST /faults`. Omitted fields keep their values. */
export interface WeightStoreFaultUpdate {
    /** Whether calls get a response with status 503. */
    outage?: boolean;
    /** Rate of new transfers, in bytes per second. */
    bytesPerS?: number;
    /** Permanently silences the connections that are open now. */
    silentConnections?: boolean;
}
