import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { JsonObject } from "./jsonObject.js";

const MS_PER_SECOND = 1000;

interface ErrorResponse {
    statusCode: number;
    retryAfter: string | undefined;
    body: string;
}

/** Returns the error for an engine's response with a status other than 2xx. */
export function engineResponseErrorOf(response: ErrorResponse): KnapweedError {
    const message = messageOf(response.body) ?? `The engine responded with status ${response.statusCode}`;
    if (response.statusCode === 429 || response.statusCode === 503) {
        return new KnapweedError("ENGINE_BUSY", message, {
            outcome: "not-run",
            statusCode: response.statusCode,
            retryAfterMs: retryAfterMsOf(response.retryAfter),
        });
    }
    if (response.statusCode < 500) {
        return new KnapweedError("ENGINE_REFUSED", message, { outcome: "answered", statusCode: response.statusCode });
    }
    return new KnapweedError("ENGINE_FAILED", message, { outcome: "unknown", statusCode: response.statusCode });
}

function retryAfterMsOf(header: string | undefined): number | undefined {
    const seconds = Number(header);
    return header === undefined || Number.isNaN(seconds) ? undefined : seconds * MS_PER_SECOND;
}

function messageOf(body: string): string | undefined {
    try {
        const { error } = JSON.parse(body) as JsonObject;
        const message = typeof error === "object" && error !== null ? (error as JsonObject).message : undefined;
        return typeof message === "string" ? message : undefined;
    }
    catch {
        return undefined;
    }
}
