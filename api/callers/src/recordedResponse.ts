import type { HeaderField } from "@knapweedwood/core.http-headers/headerField";

/** A whole response, stored under the call's idempotency key. */
export interface RecordedResponse {
    statusCode: number;
    headers: HeaderField[];
    body: Uint8Array;
}
