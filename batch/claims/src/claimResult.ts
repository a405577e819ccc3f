import type { ClaimToken } from "./claimToken.js";
import type { RecordedResponse } from "./recordedResponse.js";

/** Result of a claim. Only `granted` allows the call to be sent, and only once. */
export type ClaimResult =
    | { kind: "granted"; token: ClaimToken; }
    | { kind: "recorded"; answer: RecordedResponse; }
    /** The call is claimed and may still be running. */
    | { kind: "in-progress"; }
    /**
     * The call may have run and its outcome is unknown: its claim has expired, or the instance that sends it is no
     * longer listed. Its response may still be recorded.
     */
    | { kind: "unknown"; }
    /** The idempotency key belongs to a request with another digest. */
    | { kind: "conflict"; };
