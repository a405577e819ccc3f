import type { IncomingMessage } from "node:http";

/** Returns the first value of a header of a request; undefined if it is absent. */
export function headerOf(request: IncomingMessage, name: string): string | undefined {
    return [request.headers[name] ?? []].flat()[0];
}
