import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { readBodyCall } from "@knapweedwood/daemons.inference/readBodyCall";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import { randomUUID } from "node:crypto";
import type { PreparedBody } from "./preparedBody.js";

const INLINE_LIMIT_BYTES = 256 * 1024;

/** Holds request bodies that are too large for one message until a side reads them. */
export class BodyStreams {
    private readonly waiting = new Map<string, AsyncIterable<Uint8Array>>();

    constructor(opts: { endpoint: LinkEndpoint; }) {
        opts.endpoint.handle(readBodyCall, request => this.read(request.bodyId));
    }

    /** Small bodies are gathered whole, so that they can be sent again; large ones are streamed, once. */
    async take(body: AsyncIterable<Uint8Array> | undefined): Promise<PreparedBody> {
        if (body === undefined) {
            return inlineBody(undefined);
        }
        const iterator = body[Symbol.asyncIterator]();
        const head: Uint8Array[] = [];
        let sizeBytes = 0;
        while (sizeBytes <= INLINE_LIMIT_BYTES) {
            const next = await iterator.next();
            if (next.done === true) {
                return inlineBody(Buffer.concat(head));
            }
            head.push(next.value);
            sizeBytes += next.value.length;
        }
        return this.stream(head, iterator);
    }

    private stream(head: Uint8Array[], rest: AsyncIterator<Uint8Array>): PreparedBody {
        const bodyId = randomUUID();
        this.waiting.set(bodyId, chain(head, rest));
        return {
            bytes: undefined,
            bodyId,
            hasBeenRead: () => !this.waiting.has(bodyId),
            release: () => {
                this.waiting.delete(bodyId);
            },
        };
    }

    private async *read(bodyId: string): AsyncIterable<{ bytes: Uint8Array; }> {
        const parts = this.waiting.get(bodyId);
        this.waiting.delete(bodyId);
        if (parts === undefined) {
            throw new KnapweedError("BODY_GONE", "The body was read already or given up", { outcome: "not-run" });
        }
        for await (const bytes of parts) {
            yield { bytes };
        }
    }
}

function inlineBody(bytes: Uint8Array | undefined): PreparedBody {
    return { bytes, bodyId: undefined, hasBeenRead: () => false, release: () => undefined };
}

async function* chain(head: Uint8Array[], rest: AsyncIterator<Uint8Array>): AsyncIterable<Uint8Array> {
    yield* head;
    for (let next = await rest.next(); next.done !== true; next = await rest.next()) {
        yield next.value;
    }
}
