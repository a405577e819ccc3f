import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { GenerateRequest } from "@knapweedwood/engines.model-engine/generateRequest";

/** A generation that an entry asks of a side. */
export interface GenerateCallRequest {
    service: ServiceName;
    request: GenerateRequest;
}
