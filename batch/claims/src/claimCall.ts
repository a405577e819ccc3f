import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { ClaimResult } from "./claimResult.js";
import type { ClaimToken } from "./claimToken.js";

/** Asks the owner of a shard for a claim; one frame. Sent again with the same token, it gives the same answer. */
export const claimCall = defineCall<
    { token: ClaimToken; requestDigest: string; timeoutMs: number; executor: InstanceId; },
    ClaimResult
>("claims.claim");
