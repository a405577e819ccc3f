import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { ClaimToken } from "./claimToken.js";
import type { RecordedResponse } from "./recordedResponse.js";

/** Records the answer of a claimed call; one frame once it is committed. */
export const recordResponseCall = defineCall<{ token: ClaimToken; answer: RecordedResponse; }, { recorded: boolean; }>(
    "claims.record",
);
