import type { HeaderField } from "./headerField.js";
import { hopByHopHeaders } from "./hopByHopHeaders.js";

const PAIR_LENGTH = 2;

/**
 * Returns the end-to-end header fields of an HTTP message (RFC 9110, section 7.6.1). Drops hop-by-hop fields, fields
 * that `Connection` lists, and those in `opts.drop`, whose names are in lower case.
 *
 * @param rawHeaders alternating names and values, shape [2 * fields]
 * @returns the remaining fields with names in lower case, shape [fields]
 */
export function forwardableHeaders(rawHeaders: readonly string[], opts: { drop?: string[]; } = {}): HeaderField[] {
    const fields = Array.from(
        { length: rawHeaders.length / PAIR_LENGTH },
        (_, index) => ({
            name: (rawHeaders[PAIR_LENGTH * index] ?? "").toLowerCase(),
            value: rawHeaders[PAIR_LENGTH * index + 1] ?? "",
        }),
    );
    const named = fields
        .filter(field => field.name === "connection")
        .flatMap(field => field.value.split(",").map(name => name.trim().toLowerCase()));
    const dropped = new Set([...named, ...opts.drop ?? []]);
    return fields.filter(field => !hopByHopHeaders.has(field.name) && !dropped.has(field.name));
}
