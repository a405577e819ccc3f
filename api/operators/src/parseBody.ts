import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { z } from "zod";

/** Validates a body and returns it with its defaults. Throws `BODY_INVALID` (400) with every problem. */
export function parseBody<Schema extends z.ZodType>(schema: Schema, body: unknown): z.output<Schema> {
    const parsed = schema.safeParse(body);
    if (parsed.success) {
        return parsed.data;
    }
    const lines = parsed.error.issues.map(issue => `${issue.path.map(String).join(".")}: ${issue.message}`);
    throw new KnapweedError("BODY_INVALID", lines.join("; "), {
        statusCode: 400,
        outcome: "not-run",
        parameter: parsed.error.issues[0]?.path.map(String).join(".") ?? "",
    });
}
