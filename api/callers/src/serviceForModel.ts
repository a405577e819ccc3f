import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { ModelName } from "@knapweedwood/core.ids/modelName";
import { mayCall } from "./mayCall.js";
import type { RequestContext } from "./requestContext.js";

/** Returns the service of the requested model. Throws `MODEL_MISSING` (400) or `MODEL_UNKNOWN` (404). */
export function serviceForModel(context: RequestContext, model: unknown): ServiceDefinition {
    if (typeof model !== "string" || model === "") {
        throw new KnapweedError("MODEL_MISSING", "The request has no model", {
            statusCode: 400,
            outcome: "not-run",
            parameter: "model",
        });
    }
    const service = context.view.serviceOfModel(model as ModelName);
    if (service === undefined || !mayCall(service, context.caller.team.teamId)) {
        throw new KnapweedError("MODEL_UNKNOWN", `There is no model ${model}`, {
            statusCode: 404,
            outcome: "not-run",
            parameter: "model",
            hint: "GET /v1/models lists the models you may call",
        });
    }
    return service;
}
