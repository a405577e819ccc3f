import type { ClaimToken } from "./claimToken.js";
import type { RecordedResponse } from "./recordedResponse.js";

/** What became of a claim. Only `granted` allows the call to be sent, once. */
export type ClaimResult =
    | { kind: "granted"; token: ClaimToken; }
    | { kind: "recorded"; answer: RecordedResponse; }
    | { kind: "in-progress"; }
    /** The call was begun, and its outcome can't be known (yet). */
    | { kind: "unknown"; }
    /** The key belongs to a call with another digest. */
    | { kind: "conflict"; };
