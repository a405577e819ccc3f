import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { ClaimToken } from "./claimToken.js";
import type { RecordedAnswer } from "./recordedAnswer.js";

/** Records the answer of a claimed call; one frame once it is committed. */
export const recordAnswerCall = defineCall<{ token: ClaimToken; answer: RecordedAnswer; }, { recorded: boolean; }>(
    "claims.record",
);
