/** Body of `POST /faults`. Omitted fields keep their values. */
export interface WeightStoreFaultUpdate {
    outage?: boolean;
    bytesPerS?: number;
    /** Makes the connections that are open now go silent for good. */
    silentConnections?: boolean;
}
