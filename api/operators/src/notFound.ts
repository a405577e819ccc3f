import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";

/** The error for what does not exist, or what the caller may not know to exist. */
export function notFound(kind: "team" | "service" | "key" | "job", name: string): KnapweedError {
    return new KnapweedError(`${kind.toUpperCase()}_NOT_FOUND`, `There is no ${kind} "${name}"`, {
        statusCode: 404,
        outcome: "not-run",
    });
}
