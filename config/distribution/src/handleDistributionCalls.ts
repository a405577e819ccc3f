import type { ChunkReference } from "@knapweedwood/config.publishing/chunkReference";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import type { ActiveConfiguration } from "./activeConfiguration.js";
import { fetchChunksCall } from "./fetchChunksCall.js";
import { fetchRootCall } from "./fetchRootCall.js";
import type { MemberRevision } from "./memberRevision.js";
import { zoneStatusCall } from "./zoneStatusCall.js";

const TEXTS_PER_FRAME = 16;

/** Registers the handlers for peers that fetch the configuration or query the active revisions. */
export function handleDistributionCalls(
    opts: { endpoint: LinkEndpoint; active: ActiveConfiguration; members: () => MemberRevision[]; },
): void {
    const { endpoint, active } = opts;
    endpoint.handle(fetchRootCall, async function*() {
        yield active.root === undefined ? {} : { root: active.root };
    });
    endpoint.handle(fetchChunksCall, async function*(request) {
        const texts = chunkTexts(active, request.references);
        for (let start = 0; start < texts.length; start += TEXTS_PER_FRAME) {
            yield { texts: texts.slice(start, start + TEXTS_PER_FRAME) };
        }
    });
    endpoint.handle(zoneStatusCall, async function*() {
        yield { members: opts.members() };
    });
}

function chunkTexts(active: ActiveConfiguration, references: ChunkReference[]): string[] {
    const wanted = new Set(references);
    const texts = new Map(
        active.tree.chunks(reference => wanted.has(reference)).map(chunk => [chunk.reference, chunk.text]),
    );
    return references.map(reference => {
        const text = texts.get(reference);
        if (text === undefined) {
            throw new KnapweedError("CHUNK_NOT_FOUND", `Chunk ${reference} is not part of the active configuration`, {
                outcome: "not-run",
            });
        }
        return text;
    });
}
