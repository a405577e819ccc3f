/** One call that the service ran. */
export interface ServiceCallRecord {
    /** Order of running, from 0. */
    sequenceNumber: number;
    method: string;
    path: string;
    /** Value of the header `Idempotency-Key`. */
    idempotencyKey: string | undefined;
    /** Value of the header `X-Marker`, by which an auditor names its calls. */
    marker: string | undefined;
    /** SHA-256 of the body, in hexadecimal. */
    bodyDigest: string;
    bodySizeBytes: number;
    startedMs: number;
    /** Whether the whole answer was handed to the connection. */
    isAnswered: boolean;
}
