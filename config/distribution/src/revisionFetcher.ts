import type { ChunkReference } from "@knapweedwood/config.publishing/chunkReference";
import type { ChunkSource } from "@knapweedwood/config.publishing/chunkSource";
import type { ConfigurationRoot } from "@knapweedwood/config.publishing/configurationRoot";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { Revision } from "@knapweedwood/core.ids/revision";
import type { Link } from "@knapweedwood/links.calls/link";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";
import { singleFrame } from "@knapweedwood/links.calls/singleFrame";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { ActiveConfiguration } from "./activeConfiguration.js";
import { fetchRootCall } from "./fetchRootCall.js";
import { LinkChunkSource } from "./linkChunkSource.js";

const FETCH_TIMEOUT_MS = 5_000;

/** Adopts newer revisions. Takes the chunks from a delta, a peer or the key-value service. */
export class RevisionFetcher {
    private readonly active: ActiveConfiguration;
    private readonly linkTo: (peer: PeerIdentity) => Link | undefined;
    private readonly logger: Logger;
    private readonly stopped: AbortSignal;
    private readonly fetching = new Set<InstanceId>();

    constructor(opts: {
        active: ActiveConfiguration;
        linkTo: (peer: PeerIdentity) => Link | undefined;
        logger: Logger;
        /** No load of a revision starts after it is aborted. */
        stopped: AbortSignal;
    }) {
        this.active = opts.active;
        this.linkTo = opts.linkTo;
        this.logger = opts.logger;
        this.stopped = opts.stopped;
    }

    /** Fetches the revision of a peer if it is newer than the active one. Runs at most one fetch per peer at a time. */
    fetchIfNewer(revision: Revision, peer: PeerIdentity): void {
        const link = this.linkTo(peer);
        if (revision > this.active.revision && link !== undefined && !this.fetching.has(peer.instanceId)) {
            this.fetching.add(peer.instanceId);
            void this.fetchFrom(link).finally(() => this.fetching.delete(peer.instanceId));
        }
    }

    /** Adopts a revision that a peer forwarded. Chunks that the delta lacks are fetched from the peer. */
    applyDelta(
        delta: { root: ConfigurationRoot; chunks: { reference: ChunkReference; text: string; }[]; },
        peer: PeerIdentity,
    ): void {
        const link = this.linkTo(peer);
        if (link !== undefined) {
            void this.adopt(delta.root, chunkSource(link, delta.chunks));
        }
    }

    /** Makes a revision active if it is newer. A failure is logged; a later heartbeat or poll retries. */
    async adopt(root: ConfigurationRoot, source: ChunkSource): Promise<void> {
        try {
            if (!this.stopped.aborted) {
                await this.active.adopt(root, source);
            }
        }
        catch (thrown) {
            this.logger.debug("configuration-adopt-failed", { revision: root.revision, error: String(thrown) });
        }
    }

    private async fetchFrom(link: Link): Promise<void> {
        try {
            const { root } = await singleFrame(link.call(fetchRootCall, {}, { timeoutMs: FETCH_TIMEOUT_MS }));
            if (root !== undefined) {
                await this.adopt(root, chunkSource(link, []));
            }
        }
        catch (thrown) {
            this.logger.debug("configuration-fetch-failed", { error: String(thrown) });
        }
    }
}

function chunkSource(link: Link, delivered: { reference: ChunkReference; text: string; }[]): ChunkSource {
    return new LinkChunkSource({ link, timeoutMs: FETCH_TIMEOUT_MS, delivered });
}
