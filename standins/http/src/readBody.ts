import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { IncomingMessage } from "node:http";

const DEFAULT_MAX_SIZE_BYTES = 64_000_000;

/** Reads the whole body of a request. Rejects with `BODY_TOO_LARGE` if it has more than `maxSizeBytes` bytes. */
export async function readBody(request: IncomingMessage, maxSizeBytes = DEFAULT_MAX_SIZE_BYTES): Promise<Buffer> {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    for await (const chunk of request as AsyncIterable<Buffer>) {
        sizeBytes += chunk.byteLength;
        if (sizeBytes > maxSizeBytes) {
            throw new KnapweedError("BODY_TOO_LARGE", `The body is over ${maxSizeBytes} bytes.`, { statusCode: 413 });
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}
