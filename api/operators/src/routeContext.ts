import type { OperatorCaller } from "./operatorCaller.js";

/** A request to a {@link Route}. */
export interface RouteContext {
    caller: OperatorCaller;
    query: URLSearchParams;
    /** Returns a parameter of the path. Throws `ROUTE_PARAMETER_MISSING` if the route has none of this name. */
    parameter(name: string): string;
    /** The body; an empty object if the request has none. */
    body: { [field: string]: unknown; };
}
