import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { StoredResponse } from "./storedResponse.js";

/** Entry in the log of a shard of claims. Times are milliseconds since the Unix epoch. */
export type ClaimLogEntry =
    | {
        kind: "claimed";
        claimId: string;
        tokenId: string;
        requestDigest: string;
        /** The entry instance that sends the call. */
        executor: InstanceId;
        atMs: number;
        expiresAtMs: number;
    }
    | {
        kind: "recorded";
        claimId: string;
        tokenId: string;
        requestDigest: string;
        atMs: number;
        answer: StoredResponse;
    }
    | { kind: "released"; claimId: string; tokenId: string; atMs: number; };
