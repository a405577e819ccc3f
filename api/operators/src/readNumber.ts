import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";

/** Returns a whole number of the query; undefined if it is absent. Throws `QUERY_INVALID` (400). */
export function readNumber(
    query: URLSearchParams,
    name: string,
    opts: { maximum?: number; },
): number | undefined {
    const text = query.get(name);
    if (text === null) {
        return undefined;
    }
    const value = Number(text);
    if (!Number.isInteger(value) || value < 0 || value > (opts.maximum ?? Number.MAX_SAFE_INTEGER)) {
        throw new KnapweedError("QUERY_INVALID", `Expected a whole number as ${name}, got "${text}"`, {
            statusCode: 400,
            outcome: "not-run",
            parameter: name,
        });
    }
    return value;
}
