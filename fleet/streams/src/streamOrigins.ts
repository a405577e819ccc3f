import type { RequestId } from "@knapweedwood/core.ids/requestId";
import type { StreamOrigin } from "./streamOrigin.js";

/** The origins of the streams that callers may resume, over all processes of the fleet. */
export interface StreamOrigins {
    /** Records what began the stream of a request, once its first event is sent to the caller. */
    record(requestId: RequestId, origin: StreamOrigin): void;
    /** Resolves with what began the stream of a request; with undefined if no process that responds knows it. */
    lookUp(requestId: RequestId): Promise<StreamOrigin | undefined>;
}
