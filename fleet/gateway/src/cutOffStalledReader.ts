import { breakOffResponse } from "@knapweedwood/core.http-connections/breakOffResponse";
import type { ServerResponse } from "node:http";

/**
 * Breaks a response off once its caller has taken none of the data that waits for it for `maxStallMs`. The socket's timeout
 * counts partial writes as activity, so that a caller that reads slowly but steadily isn't cut off.
 */
export function cutOffStalledReader(
    response: ServerResponse,
    opts: { maxStallMs: number; onCutOff: () => void; },
): void {
    response.on("timeout", () => {
        const isWaiting = response.writableLength > 0 || (response.writableEnded && !response.writableFinished);
        if (isWaiting) {
            opts.onCutOff();
            breakOffResponse(response);
            return;
        }
        // The response waits for the upstream. The socket reports each timeout once, so it is set again.
        response.setTimeout(opts.maxStallMs);
    });
    response.setTimeout(opts.maxStallMs);
}
