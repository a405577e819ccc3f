import type { RequestId } from "@knapweedwood/core.ids/requestId";
import type { JsonObject } from "./jsonObject.js";
import type { ResumePoint } from "./resumePoint.js";

/** A request to generate text. */
export interface GenerateRequest {
    endpoint: "/v1/chat/completions" | "/v1/completions";
    /** The caller's request body, unchanged. */
    body: JsonObject;
    /** Output of an earlier stream of the same request, after which generation resumes. */
    resumeFrom?: ResumePoint;
    /** Id of the request at the engine, under which its KV cache can be exported. */
    requestId?: RequestId;
}
