import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { ConnectionEnding } from "@knapweedwood/standins.http/connectionEnding";
import { EndingServer } from "@knapweedwood/standins.http/endingServer";
import { UpstreamConnections } from "../src/upstreamConnections.js";

/** What an exchange received. */
interface ReceivedResponse {
    /** What ended a complete response, or the code of the failure. */
    end: string;
    bodyBytes: number;
    isConnectionBroken: boolean;
}

/**
 * Sends a request to an upstream that answers with `sent` and ends the connection.
 *
 * @param opts.pausedMs time for which reading is paused after each part of the body
 */
export async function receiveResponse(
    opts: { sent: string; ending: ConnectionEnding; pausedMs?: number; },
): Promise<ReceivedResponse> {
    const server = new EndingServer(opts);
    const address = { host: "127.0.0.1", port: await server.listen() };
    const connections = new UpstreamConnections();
    let bodyBytes = 0;
    const received = await new Promise<ReceivedResponse>(resolve => {
        const request = { method: "GET", path: "/", headers: ["host", "h"], body: undefined, requestId: "r" };
        const exchange = connections.send({ id: "u", startedAtMs: 1, address } as Upstream, request, {
            onHead: () => undefined,
            onData: chunk => {
                bodyBytes += chunk.length;
                if (opts.pausedMs !== undefined) {
                    exchange.pause();
                    setTimeout(() => exchange.resume(), opts.pausedMs);
                }
            },
            onEnd: ending => resolve({ end: ending, bodyBytes, isConnectionBroken: false }),
            onFailure: ({ code, isConnectionBroken }) => resolve({ end: code, bodyBytes, isConnectionBroken }),
        });
    });
    connections.close();
    server.close();
    return received;
}
