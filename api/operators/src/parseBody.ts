import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { z } from "zod";

/** Checks a body. Throws `BODY_INVALID` with every problem. */
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
