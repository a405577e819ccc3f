/** Body of `POST /faults`. Omitted fields keep their values. */
export interface WeightStoreFaultUpdate {
    outage?: boolean;
    bytesPerS?: number;
    /** If true, silences the connections that are open now, for good. */
    silentConnections?: boolean;
}
