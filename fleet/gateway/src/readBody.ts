import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { IncomingMessage } from "node:http";

/**
 * Reads the body of a request. Rejects with `BODY_TOO_LARGE` (status 413) above `maxBytes`, `BODY_BROKEN_OFF` if the
 * caller disconnects.
 */
export async function readBody(request: IncomingMessage, maxBytes: number): Promise<Buffer> {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    try {
        for await (const chunk of request as AsyncIterable<Buffer>) {
            sizeBytes += chunk.length;
            if (sizeBytes > maxBytes) {
                throw new KnapweedError("BODY_TOO_LARGE", `The body is over ${maxBytes} bytes`, { statusCode: 413 });
            }
            chunks.push(chunk);
        }
    }
    catch (error) {
        if (error instanceof KnapweedError) {
            throw error;
        }
        throw new KnapweedError("BODY_BROKEN_OFF", "The caller disconnected before the body was read", {
            cause: error,
        });
    }
    return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
}
