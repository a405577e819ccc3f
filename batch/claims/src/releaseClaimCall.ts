import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { ClaimToken } from "./claimToken.js";

/** Gives back a claim whose call provably did not run; one frame once it is committed. */
export const releaseClaimCall = defineCall<{ token: ClaimToken; }, { released: boolean; }>("claims.release");
