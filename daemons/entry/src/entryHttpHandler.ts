import { authenticate } from "@knapweedwood/api.callers/authenticate";
import type { CallersApi } from "@knapweedwood/api.callers/callersApi";
import { writeError } from "@knapweedwood/api.http/writeError";
import { writeJson } from "@knapweedwood/api.http/writeJson";
import type { OperatorsApi } from "@knapweedwood/api.operators/operatorsApi";
import type { ConfigurationSource } from "@knapweedwood/config.configuration/configurationSource";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { IncomingMessage, ServerResponse } from "node:http";

const OPERATORS_PREFIX = "/admin/v1";
const RETRY_AFTER_MS = 1000;

/** Routes HTTP requests to the callers' API, the operators' API or the health checks. */
export class EntryHttpHandler {
    private readonly opts: {
        callersApi: CallersApi;
        operatorsApi: OperatorsApi;
        configuration: ConfigurationSource;
        isReady: () => boolean;
    };

    constructor(opts: EntryHttpHandler["opts"]) {
        this.opts = opts;
    }

    async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const path = (request.url ?? "/").split("?")[0] ?? "/";
        if (path === "/readyz" || path === "/livez") {
            const isPassing = path === "/livez" || this.opts.isReady();
            return writeJson(response, { ready: isPassing }, { statusCode: isPassing ? 200 : 503 });
        }
        if (path === OPERATORS_PREFIX || path.startsWith(`${OPERATORS_PREFIX}/`)) {
            return this.handleOperatorRequest(request, response).catch((thrown: unknown) =>
                writeError(response, thrown)
            );
        }
        return this.opts.callersApi.handle(request, response);
    }

    private async handleOperatorRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const view = this.opts.configuration.current();
        if (view === undefined) {
            throw new KnapweedError("NOT_READY", "This instance has no configuration yet", {
                outcome: "not-run",
                retryAfterMs: RETRY_AFTER_MS,
            });
        }
        const { team, key } = authenticate(request, view);
        const caller = { teamId: team.teamId, keyId: key.keyId, role: key.role };
        if (!await this.opts.operatorsApi.handle(request, response, caller)) {
            throw new KnapweedError("PATH_UNKNOWN", "This path does not exist", {
                statusCode: 404,
                outcome: "not-run",
            });
        }
    }
}
