import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import { getSegmentCall } from "./getSegmentCall.js";
import { hasSegmentCall } from "./hasSegmentCall.js";
import { putSegmentCall } from "./putSegmentCall.js";
import { removeSegmentCall } from "./removeSegmentCall.js";
import type { SegmentStore } from "./segmentStore.js";

/**
 * Registers the call handlers through which other entry instances store, read and remove copies in this instance's data
 * folder. Calls from sides are rejected.
 */
export function registerSegmentHandlers(opts: { endpoint: LinkEndpoint; store: SegmentStore; }): void {
    const { endpoint, store } = opts;
    endpoint.handle(putSegmentCall, async function*(request, context) {
        requireEntry(context.peer.kind);
        yield { digest: await store.put(request.bytes) };
    });
    endpoint.handle(getSegmentCall, async function*(request, context) {
        requireEntry(context.peer.kind);
        yield { bytes: await store.get(request.digest).catch(() => undefined) };
    });
    endpoint.handle(hasSegmentCall, async function*(request, context) {
        requireEntry(context.peer.kind);
        yield { held: await store.get(request.digest).then(() => true, () => false) };
    });
    endpoint.handle(removeSegmentCall, async function*(request, context) {
        requireEntry(context.peer.kind);
        await store.remove(request.digest);
        yield { removed: true };
    });
}

function requireEntry(kind: string): void {
    if (kind !== "entry") {
        throw new KnapweedError("SEGMENT_ACCESS_DENIED", "Only entry instances may access segments", {
            outcome: "not-run",
        });
    }
}
