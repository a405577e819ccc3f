import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Route } from "@knapweedwood/fleet.view/route";
import type { ServerResponse } from "node:http";
import { BufferedResponseWriter } from "./bufferedResponseWriter.js";
import type { ResponseWriter } from "./responseWriter.js";
import { StreamResponseWriter } from "./streamResponseWriter.js";

/**
 * Returns the writer for responses of a route.
 *
 * @param opts.mayBeEmpty whether the caller may have all events of a stream already
 * @param opts.maxTokens number of tokens that the request allows the response to have; undefined if it names none
 */
export function createResponseWriter(
    opts: {
        clock: Clock;
        response: ServerResponse;
        route: Route;
        mayBeEmpty: boolean;
        maxTokens: number | undefined;
    },
): ResponseWriter {
    const { route: { kind, isResumable } } = opts;
    return kind === "stream"
        ? new StreamResponseWriter({ ...opts, isResumable })
        : new BufferedResponseWriter(opts);
}
