import type { IdempotencyKey } from "@knapweedwood/core.ids/idempotencyKey";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { TeamId } from "@knapweedwood/core.ids/teamId";

/** Call to claim before it is sent. */
export interface ClaimRequest {
    teamId: TeamId;
    service: ServiceName;
    idempotencyKey: IdempotencyKey;
    /** Digest of the method, path and body; a repeated request must have the same digest. */
    requestDigest: string;
    /** Maximum run time of the call, in milliseconds. After it, a claim without a response counts as unknown. */
    timeoutMs?: number;
}
