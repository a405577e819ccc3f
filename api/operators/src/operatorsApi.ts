import { readJson } from "@knapweedwood/api.http/readJson";
import { writeError } from "@knapweedwood/api.http/writeError";
import { writeJson } from "@knapweedwood/api.http/writeJson";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { IncomingMessage, ServerResponse } from "node:http";
import { configurationRoutes } from "./configurationRoutes.js";
import { fleetRoutes } from "./fleetRoutes.js";
import { forbidden } from "./forbidden.js";
import { jobRoutes } from "./jobRoutes.js";
import { keyRoutes } from "./keyRoutes.js";
import { matchRoute } from "./matchRoute.js";
import type { OperatorCaller } from "./operatorCaller.js";
import type { OperatorsApiOptions } from "./operatorsApiOptions.js";
import type { Route } from "./route.js";
import { serviceRoutes } from "./serviceRoutes.js";
import { teamRoutes } from "./teamRoutes.js";
import { usageRoutes } from "./usageRoutes.js";

const PREFIX = "/admin/v1";
const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** Serves the operators' API under `/admin/v1`. */
export class OperatorsApi {
    private readonly opts: OperatorsApiOptions;
    private readonly routes: Route[];

    constructor(opts: OperatorsApiOptions) {
        this.opts = opts;
        this.routes = [
            ...teamRoutes(opts),
            ...keyRoutes(opts),
            ...serviceRoutes(opts),
            ...configurationRoutes(opts),
            ...jobRoutes(opts),
            ...fleetRoutes(opts),
            ...usageRoutes(opts),
        ];
    }

    /**
     * Handles a request of an authenticated caller. Failures are sent as error responses.
     *
     * @returns false if no route matches, in which case no response was sent
     */
    async handle(request: IncomingMessage, response: ServerResponse, caller: OperatorCaller): Promise<boolean> {
        const url = new URL(request.url ?? "/", "http://entry");
        if (!url.pathname.startsWith(`${PREFIX}/`)) {
            return false;
        }
        const matched = matchRoute(this.routes, request.method ?? "GET", url.pathname.slice(PREFIX.length));
        if (matched === undefined) {
            return false;
        }
        try {
            const { route, parameters } = matched;
            const result = await this.run(route, { request, caller, query: url.searchParams, parameters });
            writeJson(response, result, { statusCode: route.statusCode ?? 200 });
        }
        catch (thrown) {
            writeError(response, thrown);
        }
        return true;
    }

    private async run(
        route: Route,
        call: {
            request: IncomingMessage;
            caller: OperatorCaller;
            query: URLSearchParams;
            parameters: Map<string, string>;
        },
    ): Promise<object> {
        const { caller, query, parameters } = call;
        if (!route.roles.includes(caller.role)) {
            throw forbidden(`A key of role ${caller.role} may not use this route`);
        }
        const body = route.method === "GET" ? {} : await readOptionalJson(call.request);
        const isChange = route.method !== "GET";
        if (isChange) {
            this.opts.logger.info("operators-request", {
                method: route.method,
                path: call.request.url,
                keyId: caller.keyId,
            });
        }
        return route.handle({ caller, query, body, parameter: name => parameterOf(parameters, name) });
    }
}

function readOptionalJson(request: IncomingMessage): Promise<{ [field: string]: unknown; }> {
    const isEmpty = request.headers["content-length"] === "0"
        || (request.headers["content-length"] === undefined && request.headers["transfer-encoding"] === undefined);
    return isEmpty ? Promise.resolve({}) : readJson(request, MAX_BODY_BYTES);
}

function parameterOf(parameters: Map<string, string>, name: string): string {
    const value = parameters.get(name);
    if (value === undefined) {
        throw new KnapweedError("ROUTE_PARAMETER_MISSING", `The route has no parameter "${name}"`);
    }
    return value;
}
