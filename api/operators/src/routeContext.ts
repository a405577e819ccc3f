import type { OperatorCaller } from "./operatorCaller.js";

/** One request to a {@link Route}. */
export interface RouteContext {
    caller: OperatorCaller;
    query: URLSearchParams;
    /** The parameter of the path. Throws where the route has none of this name. */
    parameter(name: string): string;
    /** The body; an empty object where the request has none. */
    body: { [field: string]: unknown; };
}
