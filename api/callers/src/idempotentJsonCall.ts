import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import { digestOf } from "@knapweedwood/core.hashing/digestOf";
import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";
import type { KeyedCalls } from "./idempotentCalls.js";
import type { RequestContext } from "./requestContext.js";

/** Runs a JSON call under its idempotency key; undefined where the request carries none. */
export function keyedJsonCall(
    context: RequestContext,
    keyedCalls: KeyedCalls,
    opts: { service: ServiceDefinition; body: JsonObject; run: () => Promise<JsonObject>; },
): Promise<JsonObject> | undefined {
    const idempotencyKey = context.request.headers["idempotency-key"];
    if (typeof idempotencyKey !== "string") {
        return undefined;
    }
    return keyedCalls.run({
        caller: context.caller,
        service: opts.service.name,
        idempotencyKey,
        timeoutMs: opts.service.deadlineMs,
        requestDigest: digestOf(`${context.path}\n${JSON.stringify(opts.body)}`),
        run: async () => ({ statusCode: 200, headers: [], body: Buffer.from(JSON.stringify(await opts.run())) }),
    }).then(answer => JSON.parse(Buffer.from(answer.body).toString("utf8")) as JsonObject);
}
