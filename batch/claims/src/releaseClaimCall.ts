import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { ClaimToken } from "./claimToken.js";

/** Releases a claim whose call provably did not run. Yields one frame once the release is committed. */
export const releaseClaimCall = defineCall<{ token: ClaimToken; }, { released: boolean; }>("claims.release");
