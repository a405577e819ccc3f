import type { StreamOrigin } from "@knapweedwood/fleet.streams/streamOrigin";

/** Whether a stream that its caller resumes may go on here. */
export type ResumptionDecision =
    | { kind: "resume"; origin: StreamOrigin; }
    | { kind: "reject"; reason: string; retryAfterMs: number; };
