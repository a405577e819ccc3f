/** Body of `POST /faults`: what is left out stays as it is. */
export interface WeightStoreFaultUpdate {
    outage?: boolean;
    bytesPerS?: number;
    /** Makes the connections that are open now go silent for good. */
    silentConnections?: boolean;
}
