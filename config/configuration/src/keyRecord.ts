import type { KeyId } from "@knapweedwood/core.ids/keyId";
import type { Limits } from "./limits.js";
import type { Role } from "./role.js";

/** A stored API key. */
export interface KeyRecord {
    keyId: KeyId;
    /** SHA-256 of the key, in hexadecimal. */
    keyHash: string;
    role: Role;
    name: string;
    createdAtMs: number;
    /** Undefined if the key is not revoked. */
    revokedAtMs?: number;
    limits?: Limits;
}
