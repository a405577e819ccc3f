/** A call that the service ran. */
export interface ServiceCallRecord {
    /** Position in the order in which the calls started to run, from 0. */
    sequenceNumber: number;
    method: string;
    path: string;
    /** Value of the header `Idempotency-Key`. */
    idempotencyKey: string | undefined;
    /** Value of the header `X-Marker`, by which an auditor identifies its calls. */
    marker: string | undefined;
    /** SHA-256 of the body, in hexadecimal. Empty until the whole body was received. */
    bodyDigest: string;
    bodySizeBytes: number;
    startedMs: number;
    /** Whether the whole response was written to the connection. */
    isAnswered: boolean;
}
