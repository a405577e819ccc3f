import type { IdempotencyKey } from "@knapweedwood/core.ids/idempotencyKey";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { TeamId } from "@knapweedwood/core.ids/teamId";

/** A call that is to be claimed before it is sent. */
export interface ClaimRequest {
    teamId: TeamId;
    service: ServiceName;
    idempotencyKey: IdempotencyKey;
    /** Digest of the method, path and body; a resend must have the same. */
    requestDigest: string;
    /** Longest time that the call may run; after it, a claim without an answer counts as unknown. */
    timeoutMs?: number;
}
