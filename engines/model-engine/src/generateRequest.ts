import type { RequestId } from "@knapweedwood/core.ids/requestId";
import type { JsonObject } from "./jsonObject.js";
import type { ResumePoint } from "./resumePoint.js";

/** A request to generate text. */
export interface GenerateRequest {
    endpoint: "/v1/chat/completions" | "/v1/completions";
    /** The body as the caller sent it. */
    body: JsonObject;
    /** What an earlier stream of the same request had produced. */
    resumeFrom?: ResumePoint;
    /** Name of the request at the engine, for the export of its KV cache. */
    requestId?: RequestId;
}
