import type { Route } from "@knapweedwood/fleet.view/route";
import { callerPatienceMs } from "./callerPatienceMs.js";

/** Time in which a response still reaches its caller, in milliseconds. */
const RESPONSE_TRANSIT_MS = 50;

/** Returns the time until which data has to be sent to a caller who last received some, or arrived, at `lastDataAtMs`. */
export function callerTimeoutAtMs(call: { deadlineAtMs: number; }, route: Route, lastDataAtMs: number): number {
    return Math.min(call.deadlineAtMs, lastDataAtMs + callerPatienceMs(route) - RESPONSE_TRANSIT_MS);
}
