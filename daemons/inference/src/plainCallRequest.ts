import type { HeaderField } from "@knapweedwood/core.http-headers/headerField";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";

/** An HTTP call to a plain service. */
export interface PlainCallRequest {
    service: ServiceName;
    method: string;
    /** Path and query, relative to the root of the service. */
    path: string;
    headers: HeaderField[];
    /** The whole body if it is small; undefined if it is streamed or there is none. */
    body: Uint8Array | undefined;
    /** Id of a streamed body, to be read with `readBodyCall`; undefined otherwise. */
    bodyId: string | undefined;
}
