import type { ClaimToken } from "./claimToken.js";
import type { RecordedResponse } from "./recordedResponse.js";

/** Result of a claim. Only `granted` allows the call to be sent, and only once. */
export type ClaimResult =
    | { kind: "granted"; token: ClaimToken; }
    | { kind: "recorded"; answer: RecordedResponse; }
    | { kind: "in-progress"; }
    /** The call was started, but its outcome can't be determined, or not yet. */
    | { kind: "unknown"; }
    /** The idempotency key belongs to a request with another digest. */
    | { kind: "conflict"; };
