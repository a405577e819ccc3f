import type { KeyRecord } from "@knapweedwood/config.configuration/keyRecord";

/** Returns a key as the API shows it, without its hash. */
export function keyObject(key: KeyRecord): object {
    const { keyHash: _keyHash, ...fields } = key;
    return fields;
}
