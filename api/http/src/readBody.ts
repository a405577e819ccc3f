import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { IncomingMessage } from "node:http";

/** Reads a request's body. Rejects with `BODY_TOO_LARGE` (413), or `BODY_CUT` (400) if the body ended early. */
export async function readBody(request: IncomingMessage, maxBytes: number): Promise<Buffer> {
    const declaredBytes = Number(request.headers["content-length"] ?? 0);
    if (declaredBytes > maxBytes) {
        throw tooLarge(maxBytes);
    }
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    try {
        for await (const chunk of request as AsyncIterable<Buffer>) {
            sizeBytes += chunk.length;
            if (sizeBytes > maxBytes) {
                throw tooLarge(maxBytes);
            }
            chunks.push(chunk);
        }
    }
    catch (cause) {
        throw cause instanceof KnapweedError
            ? cause
            : new KnapweedError("BODY_CUT", "The request's body ended early", {
                statusCode: 400,
                outcome: "not-run",
                cause,
            });
    }
    return chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks);
}

function tooLarge(maxBytes: number): KnapweedError {
    return new KnapweedError("BODY_TOO_LARGE", `The request's body is larger than ${maxBytes} bytes`, {
        statusCode: 413,
        outcome: "not-run",
    });
}
