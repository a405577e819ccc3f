import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { GenerateRequest } from "@knapweedwood/engines.model-engine/generateRequest";
import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";
import { z } from "zod";

const tokenLimit = z.int().min(1).nullish();

const sharedShape = {
    model: z.string().min(1),
    stream: z.boolean().nullish(),
    stream_options: z.looseObject({ include_usage: z.boolean().optional() }).nullish(),
    max_tokens: tokenLimit,
    n: z.literal(1, { error: "must be 1, several choices in one request are not supported" }).nullish(),
};

const message = z.looseObject({
    role: z.string(),
    content: z.union([z.string(), z.array(z.looseObject({ type: z.string() }))]).nullish(),
});

const chatSchema = z.looseObject({
    ...sharedShape,
    max_completion_tokens: tokenLimit,
    messages: z.array(message).min(1),
});

const completionSchema = z.looseObject({ ...sharedShape, prompt: z.string() });

/** Validates the body of a generation request. Throws `REQUEST_INVALID` (400) with the first invalid parameter. */
export function checkGenerateBody(endpoint: GenerateRequest["endpoint"], body: JsonObject): void {
    const checked = (endpoint === "/v1/chat/completions" ? chatSchema : completionSchema).safeParse(body);
    if (checked.success) {
        return;
    }
    const issue = checked.error.issues[0];
    const parameter = issue?.path.map(String).join(".") ?? "";
    throw new KnapweedError("REQUEST_INVALID", `${parameter}: ${issue?.message ?? "is invalid"}`, {
        statusCode: 400,
        outcome: "not-run",
        parameter,
    });
}
