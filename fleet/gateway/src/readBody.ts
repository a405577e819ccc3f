import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { MemoryReservation } from "@knapweedwood/fleet.memory/memoryReservation";
import { ByteCollector } from "@knapweedwood/fleet.upstreams/byteCollector";
import type { IncomingMessage } from "node:http";

/** Time after which the process is likely to have room for a body, in milliseconds. */
const NO_MEMORY_RETRY_AFTER_MS = 500;

/**
 * Reads the body of a request. Rejects with `BODY_TOO_LARGE` (status 413) above `maxBytes`, with `MEMORY_LIMIT_REACHED`
 * (status 503) if the process has no room for it, with `BODY_BROKEN_OFF` if the caller disconnects.
 */
export async function readBody(
    request: IncomingMessage,
    opts: { maxBytes: number; memory: MemoryReservation; },
): Promise<Buffer> {
    const { maxBytes, memory } = opts;
    const body = new ByteCollector();
    let sizeBytes = 0;
    let countedBytes = 0;
    let hasRoom = true;
    try {
        for await (const chunk of request as AsyncIterable<Buffer>) {
            sizeBytes += chunk.length;
            if (sizeBytes > maxBytes) {
                throw new KnapweedError("BODY_TOO_LARGE", `The body is over ${maxBytes} bytes`, { statusCode: 413 });
            }
            // The rest is read and dropped, since a caller that is still sending would see a reset in place of the response.
            if (!hasRoom) {
                continue;
            }
            body.append(chunk);
            hasRoom = memory.tryAddRequestBytes(body.heldBytes - countedBytes);
            countedBytes = body.heldBytes;
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
    if (!hasRoom) {
        throw new KnapweedError("MEMORY_LIMIT_REACHED", "The limit of the memory for callers is reached", {
            statusCode: 503,
            outcome: "not-run",
            retryAfterMs: NO_MEMORY_RETRY_AFTER_MS,
        });
    }
    return body.toBuffer();
}
