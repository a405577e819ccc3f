import type { CallKind } from "./callKind.js";

/** One attempt of a caller, as the caller saw it. */
export interface CallRecord {
    id: string;
    kind: CallKind;
    path: string;
    body: string;
    gateway: string;
    /** Counts the starts of the gateway's process. */
    startNumber: number;
    sentAtMs: number;
    /** Undefined while no answer has ended. */
    endedAtMs: number | undefined;
    /** 0 where there was no answer. */
    statusCode: number;
    /** Whether the answer ended as HTTP wants it. */
    isComplete: boolean;
    responseBody: string;
    hasProof: boolean;
    /** For probes: the configuration whose route is asked for. */
    version: number | undefined;
}
