import type { ConfigurationView } from "@knapweedwood/config.configuration/configurationView";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { Caller } from "./caller.js";

const BEARER_PATTERN = /^Bearer\s+(\S+)$/iu;

/** Returns the caller that the bearer key belongs to. Throws `KEY_MISSING`, `KEY_UNKNOWN` or `KEY_REVOKED` (401). */
export function authenticate(request: IncomingMessage, view: ConfigurationView): Caller {
    const key = BEARER_PATTERN.exec(request.headers.authorization ?? "")?.[1];
    if (key === undefined) {
        throw unauthorized("KEY_MISSING", "The request has no API key", "Send it as Authorization: Bearer KEY");
    }
    const keyHash = createHash("sha256").update(key).digest("hex");
    const found = view.findKey(keyHash);
    if (found === undefined || !equalInConstantTime(found.key.keyHash, keyHash)) {
        throw unauthorized("KEY_UNKNOWN", "The key is not known");
    }
    if (found.key.revokedAtMs !== undefined) {
        throw unauthorized("KEY_REVOKED", "The key was revoked");
    }
    return found;
}

function equalInConstantTime(left: string, right: string): boolean {
    return left.length === right.length && timingSafeEqual(Buffer.from(left), Buffer.from(right));
}

function unauthorized(code: string, message: string, hint?: string): KnapweedError {
    return new KnapweedError(code, message, { statusCode: 401, outcome: "not-run", hint });
}
