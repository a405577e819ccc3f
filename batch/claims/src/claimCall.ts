import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import { defineCall } from "@knapweedwood/links.calls/defineCall";
import type { ClaimResult } from "./claimResult.js";
import type { ClaimToken } from "./claimToken.js";

/**
 * Requests a claim from the owner of a shard. Yields one frame. A repeat with the same token yields the same result.
 */
export const claimCall = defineCall<
    { token: ClaimToken; requestDigest: string; timeoutMs: number; executor: InstanceId; },
    ClaimResult
>("claims.claim");
