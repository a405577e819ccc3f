import { readJson } from "@knapweedwood/api.http/readJson";
import { writeJson } from "@knapweedwood/api.http/writeJson";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { CallersApiOptions } from "./callersApiOptions.js";
import { estimateTokens } from "./estimateTokens.js";
import type { RequestContext } from "./requestContext.js";
import { serviceForModel } from "./serviceForModel.js";

/** Handles `POST /v1/embeddings`. */
export class EmbeddingRoute {
    private readonly opts: CallersApiOptions;

    constructor(opts: CallersApiOptions) {
        this.opts = opts;
    }

    /** Sends the embeddings. Rejects with an error of the request, its admission or the backend. */
    async handle(context: RequestContext): Promise<void> {
        const body = await readJson(context.request, this.opts.maxBodyBytes);
        const service = serviceForModel(context, body["model"]);
        if (typeof body["input"] !== "string" && !Array.isArray(body["input"])) {
            throw new KnapweedError("REQUEST_INVALID", "input: expected a string or an array", {
                statusCode: 400,
                outcome: "not-run",
                parameter: "input",
            });
        }
        const tokens = estimateTokens(body);
        const release = this.opts.admission.admit({ caller: context.caller, service, tokens });
        try {
            writeJson(
                context.response,
                await this.opts.backend.embed({
                    service,
                    body,
                    caller: context.caller,
                    signal: context.signal,
                    deadlineMs: this.opts.clock.nowMs() + service.deadlineMs,
                    traceParent: context.span.traceParent,
                }),
            );
        }
        finally {
            release({ promptTokens: tokens, completionTokens: 0 });
        }
    }
}
