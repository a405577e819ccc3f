import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { HeaderField } from "./headerField.js";

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
