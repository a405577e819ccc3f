import type { Role } from "@knapweedwood/config.configuration/role";
import type { RouteContext } from "./routeContext.js";

/** An operation of the operators' API. */
export interface Route {
    method: "GET" | "POST" | "PUT" | "PATCH" | "DELETE";
    /** Path below `/admin/v1`, with parameters written as `:name`. */
    path: string;
    roles: readonly Role[];
    statusCode?: number;
    /** @returns the body of the response */
    handle(context: RouteContext): Promise<object>;
}
