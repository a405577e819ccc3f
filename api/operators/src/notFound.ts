import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";

/** Returns the error (404) for a resource that does not exist or that the caller may not see. */
export function notFound(kind: "team" | "service" | "key" | "job", name: string): KnapweedError {
    return new KnapweedError(`${kind.toUpperCase()}_NOT_FOUND`, `There is no ${kind} "${name}"`, {
        statusCode: 404,
        outcome: "not-run",
    });
}
