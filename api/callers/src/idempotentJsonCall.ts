import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import { digestOf } from "@knapweedwood/core.hashing/digestOf";
import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";
import type { IdempotentCalls } from "./idempotentCalls.js";
import type { RequestContext } from "./requestContext.js";

/** Runs a JSON call under its idempotency key. Returns undefined if the request has none. */
export function idempotentJsonCall(
    context: RequestContext,
    idempotentCalls: IdempotentCalls,
    opts: { service: ServiceDefinition; body: JsonObject; run: () => Promise<JsonObject>; },
): Promise<JsonObject> | undefined {
    const idempotencyKey = context.request.headers["idempotency-key"];
    if (typeof idempotencyKey !== "string") {
        return undefined;
    }
    return idempotentCalls.run({
        caller: context.caller,
        service: opts.service.name,
        idempotencyKey,
        timeoutMs: opts.service.deadlineMs,
        requestDigest: digestOf(`${context.path}\n${JSON.stringify(opts.body)}`),
        run: async () => ({ statusCode: 200, headers: [], body: Buffer.from(JSON.stringify(await opts.run())) }),
    }).then(response => JSON.parse(Buffer.from(response.body).toString("utf8")) as JsonObject);
}
