import type { PromptPartId } from "@knapweedwood/core.ids/promptPartId";
import type { RequestFingerprint } from "@knapweedwood/core.ids/requestFingerprint";
import { createHash } from "node:crypto";
import { FINGERPRINT_PREFIX } from "./fingerprintPrefix.js";

/** Number of hexadecimal digits that are kept of the hash. */
const DIGITS = 24;

/**
 * Returns what identifies a request that comes again. What differs between attempts doesn't count: ids, deadlines, and the
 * part of the prompt that belongs to the request itself.
 */
export function fingerprintOf(request: {
    /** The `Host` header. */
    host: string | undefined;
    /** The `Authorization` header. */
    authorization: string | undefined;
    method: string;
    /** Path with query. */
    path: string;
    /** The parts of the prompt that other requests may share, shape [parts]. */
    promptParts: readonly PromptPartId[];
    body: Uint8Array;
}): RequestFingerprint {
    const { host = "", authorization = "", method, path, promptParts, body } = request;
    const head = JSON.stringify([host.toLowerCase(), authorization, method, path, promptParts]);
    const hash = createHash("blake2b512").update(head).update(body).digest("hex");
    return `${FINGERPRINT_PREFIX}${hash.slice(0, DIGITS)}` as RequestFingerprint;
}
