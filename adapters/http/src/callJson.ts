import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { HttpCall } from "./httpCall.js";
import type { HttpResponse } from "./httpResponse.js";
import type { PlatformHttpClient } from "./platformHttpClient.js";

const FIRST_OK_STATUS = 200;
const FIRST_REDIRECT_STATUS = 300;
const UNAVAILABLE_STATUS = 503;

/**
 * Makes a call and parses the JSON body of its response. Rejects with a KnapweedError with code `errorCode`. Its
 * outcome is `not-run` if the call was not sent or the status is 503, `unknown` otherwise.
 */
export async function callJson<Value>(client: PlatformHttpClient, call: HttpCall, errorCode: string): Promise<Value> {
    const response = await send(client, call, errorCode);
    if (response.statusCode < FIRST_OK_STATUS || response.statusCode >= FIRST_REDIRECT_STATUS) {
        throw new KnapweedError(errorCode, `${call.method} ${call.path} failed with status ${response.statusCode}.`, {
            outcome: response.statusCode === UNAVAILABLE_STATUS ? "not-run" : "unknown",
        });
    }
    try {
        return JSON.parse(response.body.toString()) as Value;
    }
    catch (cause) {
        throw new KnapweedError(errorCode, `${call.method} ${call.path}: the response body is not valid JSON.`, {
            outcome: "unknown",
            cause,
        });
    }
}

async function send(client: PlatformHttpClient, call: HttpCall, errorCode: string): Promise<HttpResponse> {
    try {
        return await client.call(call);
    }
    catch (thrown) {
        const error = toKnapweedError(thrown);
        throw new KnapweedError(errorCode, error.message, { outcome: error.outcome, cause: error });
    }
}
