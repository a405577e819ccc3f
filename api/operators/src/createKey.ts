import type { KeyRecord } from "@knapweedwood/config.configuration/keyRecord";
import { digestOf } from "@knapweedwood/core.hashing/digestOf";
import type { KeyId } from "@knapweedwood/core.ids/keyId";
import { randomBytes } from "node:crypto";

const SECRET_BYTES = 32;
const KEY_ID_BYTES = 9;

/** Creates a key. The secret is returned to its holder only once, and only its hash is stored. */
export function createKey(
    opts: Pick<KeyRecord, "name" | "role" | "createdAtMs" | "limits">,
): { secret: string; record: KeyRecord; } {
    const secret = `kw-${randomBytes(SECRET_BYTES).toString("base64url")}`;
    const keyId = `key-${randomBytes(KEY_ID_BYTES).toString("hex")}` as KeyId;
    const { limits, ...fields } = opts;
    const record = { keyId, keyHash: digestOf(secret), ...fields, ...(limits === undefined ? {} : { limits }) };
    return { secret, record };
}
