import type { IncomingMessage } from "node:http";

/** Returns the value of a header, undefined if it is missing. */
export function headerOf(request: IncomingMessage, name: string): string | undefined {
    const value = request.headers[name];
    return value === undefined ? undefined : String(value);
}
