import type { ConfigurationView } from "@knapweedwood/config.configuration/configurationView";
import type { TraceSpan } from "@knapweedwood/observability.traces/traceSpan";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Caller } from "./caller.js";

/** An authenticated request of a caller. */
export interface RequestContext {
    request: IncomingMessage;
    response: ServerResponse;
    /** Path without the query. */
    path: string;
    query: URLSearchParams;
    caller: Caller;
    view: ConfigurationView;
    /** Aborted when the caller disconnects before the response has ended. */
    signal: AbortSignal;
    span: TraceSpan;
}
