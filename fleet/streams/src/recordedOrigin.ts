import type { RequestId } from "@knapweedwood/core.ids/requestId";
import type { StreamOrigin } from "./streamOrigin.js";

/** The origin of the stream that a request began. */
export interface RecordedOrigin {
    requestId: RequestId;
    origin: StreamOrigin;
}
