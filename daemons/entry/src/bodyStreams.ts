import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { readBodyCall } from "@knapweedwood/daemons.inference/readBodyCall";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import { randomUUID } from "node:crypto";
import type { PreparedBody } from "./preparedBody.js";

const INLINE_LIMIT_BYTES = 256 * 1024;

/** Holds request bodies that are too large for a single message until a side reads them. */
export class BodyStreams {
    private readonly unreadBodies = new Map<string, AsyncIterable<Uint8Array>>();

    constructor(opts: { endpoint: LinkEndpoint; }) {
        opts.endpoint.handle(readBodyCall, request => this.read(request.bodyId));
    }

    /**
     * Prepares a body for sending to a side. A small body is buffered, so that it can be sent again. A large body is
     * streamed, and can be read only once.
     */
    async prepare(body: AsyncIterable<Uint8Array> | undefined): Promise<PreparedBody> {
        if (body === undefined) {
            return inlineBody(undefined);
        }
        const iterator = body[Symbol.asyncIterator]();
        const leadingChunks: Uint8Array[] = [];
        let sizeBytes = 0;
        while (sizeBytes <= INLINE_LIMIT_BYTES) {
            const next = await iterator.next();
            if (next.done === true) {
                return inlineBody(Buffer.concat(leadingChunks));
            }
            leadingChunks.push(next.value);
            sizeBytes += next.value.length;
        }
        return this.registerStream(leadingChunks, iterator);
    }

    private registerStream(leadingChunks: Uint8Array[], remaining: AsyncIterator<Uint8Array>): PreparedBody {
        const bodyId = randomUUID();
        this.unreadBodies.set(bodyId, concatenate(leadingChunks, remaining));
        return {
            bytes: undefined,
            bodyId,
            hasReadStarted: () => !this.unreadBodies.has(bodyId),
            release: () => {
                this.unreadBodies.delete(bodyId);
            },
        };
    }

    private async *read(bodyId: string): AsyncIterable<{ bytes: Uint8Array; }> {
        const chunks = this.unreadBodies.get(bodyId);
        this.unreadBodies.delete(bodyId);
        if (chunks === undefined) {
            throw new KnapweedError("BODY_GONE", "The streamed body has already been read or released", {
                outcome: "not-run",
            });
        }
        for await (const bytes of chunks) {
            yield { bytes };
        }
    }
}

function inlineBody(bytes: Uint8Array | undefined): PreparedBody {
    return { bytes, bodyId: undefined, hasReadStarted: () => false, release: () => undefined };
}

async function* concatenate(
    leadingChunks: Uint8Array[],
    remaining: AsyncIterator<Uint8Array>,
): AsyncIterable<Uint8Array> {
    yield* leadingChunks;
    for (let next = await remaining.next(); next.done !== true; next = await remaining.next()) {
        yield next.value;
    }
}
