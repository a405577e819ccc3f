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

/** Puts newer revisions in force, with the chunks from wherever they are at hand. */
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
        /** Nothing is put in force once it is aborted. */
        stopped: AbortSignal;
    }) {
        this.active = opts.active;
        this.linkTo = opts.linkTo;
        this.logger = opts.logger;
        this.stopped = opts.stopped;
    }

    /** Asks a peer for its revision, where that is newer. */
    fetchIfNewer(revision: Revision, peer: PeerIdentity): void {
        const link = this.linkTo(peer);
        if (revision > this.active.revision && link !== undefined && !this.fetching.has(peer.instanceId)) {
            this.fetching.add(peer.instanceId);
            void this.fetchFrom(link).finally(() => this.fetching.delete(peer.instanceId));
        }
    }

    /** Takes a revision that a peer passed on; what its delta lacks is fetched from the peer. */
    applyDelta(
        delta: { root: ConfigurationRoot; chunks: { reference: ChunkReference; text: string; }[]; },
        peer: PeerIdentity,
    ): void {
        const link = this.linkTo(peer);
        if (link !== undefined) {
            void this.adopt(delta.root, chunkSource(link, delta.chunks));
        }
    }

    /** Puts a revision in force where it is newer. Failures are logged, and made good by a later beat or sweep. */
    async adopt(root: ConfigurationRoot, source: ChunkSource): Promise<void> {
        try {
            if (!this.stopped.aborted) {
                await this.active.adopt(root, source);
            }
        }
        catch (thrown) {
            this.logger.debug("configuration.adopt-failed", { revision: root.revision, error: String(thrown) });
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
            this.logger.debug("configuration.fetch-failed", { error: String(thrown) });
        }
    }
}

function chunkSource(link: Link, delivered: { reference: ChunkReference; text: string; }[]): ChunkSource {
    return new LinkChunkSource({ link, timeoutMs: FETCH_TIMEOUT_MS, delivered });
}
