import type { KeyId } from "@knapweedwood/core.ids/keyId";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { RateLimits } from "./rateLimits.js";

/** The end of a request that was admitted. */
export interface LimitRelease {
    teamId: TeamId;
    keyId?: KeyId | undefined;
    limits: RateLimits;
    keyLimits?: RateLimits | undefined;
    /** Tokens that the request was expected to use when it was admitted. */
    tokens: number;
    /** Tokens that the request used; undefined if unknown, in which case the expected tokens count. */
    usedTokens?: number | undefined;
    nowMs: number;
}
