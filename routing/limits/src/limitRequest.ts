import type { KeyId } from "@knapweedwood/core.ids/keyId";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { RateLimits } from "./rateLimits.js";

/** A request to be admitted. */
export interface LimitRequest {
    teamId: TeamId;
    keyId?: KeyId | undefined;
    /** Limits of the team. */
    limits: RateLimits;
    /** Limits of the key. */
    keyLimits?: RateLimits | undefined;
    /** Tokens that the request is expected to use, for its prompt and its response. */
    tokens: number;
    nowMs: number;
}
