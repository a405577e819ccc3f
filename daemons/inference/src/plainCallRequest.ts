import type { HeaderField } from "@knapweedwood/core.http-headers/headerField";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";

/** A call of a plain service. */
export interface PlainCallRequest {
    service: ServiceName;
    method: string;
    /** Path and query, from the service's root. */
    path: string;
    headers: HeaderField[];
    /** The whole body, where it is small. */
    body: Uint8Array | undefined;
    /** Names the body for `readBodyCall`, where it is streamed. */
    bodyId: string | undefined;
}
