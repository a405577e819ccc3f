import type { ServerResponse } from "node:http";

/** Closes the connection of a response that has begun, so that its receiver can't take it for complete. */
export function breakOffResponse(response: ServerResponse): void {
    if (response.req.httpVersionMinor === 0 && !response.writableEnded) {
        // HTTP/1.0 has no chunks: an orderly end of the connection would end the response.
        response.socket?.resetAndDestroy();
    }
    response.destroy();
}
