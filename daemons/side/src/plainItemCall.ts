import type { BatchItem } from "@knapweedwood/batch.items/batchItem";
import type { PlainCallRequest } from "@knapweedwood/daemons.inference/plainCallRequest";

const SERVICE_PATH_PATTERN = /^\/services\/[^/]+/u;

/** Returns the call to a plain service that runs a batch item. */
export function plainItemCall(item: BatchItem): PlainCallRequest {
    return {
        service: item.service,
        method: "POST",
        path: item.endpoint.replace(SERVICE_PATH_PATTERN, "") || "/",
        headers: [{ name: "content-type", value: "application/json" }],
        body: Buffer.from(JSON.stringify(item.body)),
        bodyId: undefined,
    };
}
