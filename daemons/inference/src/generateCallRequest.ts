import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { GenerateRequest } from "@knapweedwood/engines.model-engine/generateRequest";

/** A text generation request that an entry sends to a side. */
export interface GenerateCallRequest {
    service: ServiceName;
    request: GenerateRequest;
}
