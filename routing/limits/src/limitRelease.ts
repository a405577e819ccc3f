import type { KeyId } from "@knapweedwood/core.ids/keyId";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { RateLimits } from "./rateLimits.js";

/** The end of a request that was let in. */
export interface LimitRelease {
    teamId: TeamId;
    keyId?: KeyId | undefined;
    limits: RateLimits;
    keyLimits?: RateLimits | undefined;
    /** Tokens that the request was let in with. */
    tokens: number;
    /** Tokens that it has used; undefined leaves the expectation standing. */
    usedTokens?: number | undefined;
    nowMs: number;
}
