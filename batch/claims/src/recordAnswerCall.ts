import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { ClaimToken } from "./claimToken.js";
import type { RecordedResponse } from "./recordedResponse.js";

/** Records the response of a claimed call. Yields one frame once the response is committed. */
export const recordAnswerCall = defineCall<{ token: ClaimToken; answer: RecordedResponse; }, { recorded: boolean; }>(
    "claims.record",
);
