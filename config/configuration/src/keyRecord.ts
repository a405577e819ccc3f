import type { KeyId } from "@knapweedwood/core.ids/keyId";
import type { Limits } from "./limits.js";
import type { Role } from "./role.js";

/** An API key as it is stored. */
export interface KeyRecord {
    keyId: KeyId;
    /** SHA-256 of the key, in hexadecimal. */
    keyHash: string;
    role: Role;
    name: string;
    createdAtMs: number;
    revokedAtMs?: number;
    limits?: Limits;
}
