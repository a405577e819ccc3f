import type { CallHeaderNames } from "@knapweedwood/fleet.view/callHeaderNames";
import type { Route } from "@knapweedwood/fleet.view/route";
import type { IncomingMessage } from "node:http";
import { headerOf } from "./headerOf.js";

/** Returns the time for which the caller waits, in milliseconds; the route's timeout if it doesn't say, or not readably. */
export function remainingMsOf(
    request: IncomingMessage,
    route: Pick<Route, "timeoutMs">,
    headers: CallHeaderNames,
): number {
    const value = headerOf(request, headers.remainingMs);
    const remainingMs = value === undefined ? NaN : Number(value);
    return Number.isFinite(remainingMs) ? remainingMs : route.timeoutMs;
}
