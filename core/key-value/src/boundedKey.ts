import { digestOf } from "@knapweedwood/core.hashing/digestOf";
import { MAX_KEY_SIZE_BYTES } from "./maxKeySizeBytes.js";

/** Length of the begin of a key that stays as it is, so that the key is still found by its prefix, in characters. */
const KEPT_LENGTH = 40;

/** Returns a key that the service accepts: the key itself or, if that is too long, its begin and its digest. */
export function boundedKey(key: string): string {
    return Buffer.byteLength(key) <= MAX_KEY_SIZE_BYTES ? key : `${key.slice(0, KEPT_LENGTH)}~${digestOf(key)}`;
}
