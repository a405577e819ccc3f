import type { Route } from "@knapweedwood/fleet.view/route";
import type { ServerResponse } from "node:http";
import { BufferedResponseWriter } from "./bufferedResponseWriter.js";
import type { ResponseWriter } from "./responseWriter.js";
import { StreamResponseWriter } from "./streamResponseWriter.js";

/**
 * Returns the writer for responses of a route.
 *
 * @param opts.mayBeEmpty whether the caller may have all events of a stream already
 */
export function createResponseWriter(
    opts: { response: ServerResponse; route: Route; mayBeEmpty: boolean; },
): ResponseWriter {
    const { response, route: { kind, isResumable }, mayBeEmpty } = opts;
    return kind === "stream"
        ? new StreamResponseWriter({ response, isResumable, mayBeEmpty })
        : new BufferedResponseWriter({ response });
}
