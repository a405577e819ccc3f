import { once } from "node:events";
import type { ServerResponse } from "node:http";

/** Writes server-sent events, no faster than the caller reads them. */
export class ServerSentEvents {
    private readonly response: ServerResponse;

    constructor(response: ServerResponse) {
        this.response = response;
    }

    /** Sends the head of the response. */
    begin(): void {
        this.response.writeHead(200, {
            "content-type": "text/event-stream; charset=utf-8",
            "cache-control": "no-cache",
            "x-accel-buffering": "no",
            "x-knapweed-outcome": "answered",
        });
    }

    /**
     * Sends events and waits until the connection accepts more data.
     *
     * @param events a JSON object per event, shape [events]
     */
    async send(events: object[], signal: AbortSignal): Promise<void> {
        await this.write(events.map(data => `data: ${JSON.stringify(data)}\n\n`).join(""), signal);
    }

    /** Sends the final `[DONE]` event and ends the response. */
    end(): void {
        this.response.end("data: [DONE]\n\n");
    }

    /** Ends a stream that failed after it had begun. The last event contains the error, and no `[DONE]` follows. */
    fail(error: object): void {
        this.response.end(`data: ${JSON.stringify(error)}\n\n`);
    }

    private async write(text: string, signal: AbortSignal): Promise<void> {
        if (!this.response.write(text) && !signal.aborted) {
            await once(this.response, "drain", { signal });
        }
    }
}
