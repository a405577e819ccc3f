import type { CallKind } from "./callKind.js";

/** One request of a caller and its response, as the caller saw them. */
export interface CallRecord {
    id: string;
    kind: CallKind;
    path: string;
    body: string;
    gateway: string;
    /** Number of times that the gateway's process had been started when the request was sent. */
    startNumber: number;
    sentAtMs: number;
    /** Undefined until the response has ended or failed. */
    endedAtMs: number | undefined;
    /** 0 if there was no response. */
    statusCode: number;
    /** Whether the HTTP response arrived in full. */
    isComplete: boolean;
    responseBody: string;
    /** Whether the response has the header that proves that it comes from an upstream. */
    hasProof: boolean;
    /** Id of the call that began the stream which this call resumes; undefined for a new stream. */
    resumedCallId: string | undefined;
    /** Id of the last event that the caller has; 0 for a new stream. */
    resumedAfter: number;
    /** The key that the caller sent; undefined without teams. */
    key: string | undefined;
    /** For probes: the version of the configuration whose route is requested. */
    version: number | undefined;
}
