import type { ConfigurationSource } from "@knapweedwood/config.configuration/configurationSource";
import type { ConfigurationView } from "@knapweedwood/config.configuration/configurationView";
import type { ChunkSource } from "@knapweedwood/config.publishing/chunkSource";
import type { ConfigurationRoot } from "@knapweedwood/config.publishing/configurationRoot";
import type { ConfigurationTree } from "@knapweedwood/config.publishing/configurationTree";
import { KeyValueChunkSource } from "@knapweedwood/config.publishing/keyValueChunkSource";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { Revision } from "@knapweedwood/core.ids/revision";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";
import { ActiveConfiguration } from "./activeConfiguration.js";
import { ActiveRevisionQuery } from "./activeRevisionQuery.js";
import type { ActiveRevisionReport } from "./activeRevisionReport.js";
import { addedChunks } from "./addedChunks.js";
import { announceNotification } from "./announceNotification.js";
import { deltaNotification } from "./deltaNotification.js";
import type { DistributionOptions } from "./distributionOptions.js";
import { handleDistributionCalls } from "./handleDistributionCalls.js";
import { heartbeatNotification } from "./heartbeatNotification.js";
import { MemberReports } from "./memberReports.js";
import type { MemberRevision } from "./memberRevision.js";
import { Neighbours } from "./neighbours.js";
import { RevisionFetcher } from "./revisionFetcher.js";
import { RootWatcher } from "./rootWatcher.js";

const HEARTBEAT_PERIOD_MS = 2_000;
/** Period at which the link to the parent is checked. */
const PARENT_CHECK_PERIOD_MS = 100;
const JITTER_SHARE = 0.2;
const REPORT_EXPIRY_MS = 7_000;
const REPORT_DELAY_MS = 20;
const REFRESH_PERIOD_MS = 2_000;
const ORPHAN_TIMEOUT_MS = 5_000;
const MAX_DELTA_CHARACTERS = 64 * 1024;

/**
 * Keeps the configuration of this process up to date. A few watchers per zone follow the key-value service. All other
 * processes receive deltas from a parent over links. Heartbeats and their responses exchange revisions, so that a
 * process that missed a delta fetches it. Heartbeats also report the active revisions to the parent.
 */
export class DistributedConfiguration implements ConfigurationSource {
    private readonly opts: DistributionOptions;
    private readonly active: ActiveConfiguration;
    private readonly reports = new MemberReports({ expiryMs: REPORT_EXPIRY_MS });
    private readonly neighbours: Neighbours;
    private readonly fetcher: RevisionFetcher;
    private readonly watcher: RootWatcher | undefined;
    private readonly keyValueSource: ChunkSource | undefined;
    private readonly stopped = new AbortController();
    private isReportScheduled = false;
    private lastParentContactAtMs: number;
    private respondingParent: InstanceId | undefined;

    constructor(opts: DistributionOptions) {
        this.opts = opts;
        this.active = new ActiveConfiguration({ onAdopted: adopted => this.handleAdopted(adopted) });
        this.neighbours = new Neighbours(opts);
        this.fetcher = new RevisionFetcher({
            active: this.active,
            linkTo: peer => this.neighbours.linkTo(peer),
            logger: opts.logger,
            stopped: this.stopped.signal,
        });
        this.lastParentContactAtMs = opts.clock.nowMs();
        if (opts.keyValue !== undefined) {
            this.keyValueSource = new KeyValueChunkSource({ keyValue: opts.keyValue });
            this.watcher = new RootWatcher({
                ...opts,
                keyValue: opts.keyValue,
                onRoot: root => this.handleRoot(root),
            });
        }
        handleDistributionCalls({ endpoint: opts.endpoint, active: this.active, members: () => this.members() });
        opts.endpoint.handleNotification(
            heartbeatNotification,
            (heartbeat, peer) => this.handleHeartbeat(heartbeat, peer),
        );
        opts.endpoint.handleNotification(
            announceNotification,
            (message, peer) => this.handleAnnouncement(message.revision, peer),
        );
        opts.endpoint.handleNotification(deltaNotification, (delta, peer) => this.fetcher.applyDelta(delta, peer));
    }

    /** Starts to follow the configuration. Resolves immediately, whether or not a configuration has been found. */
    start(): Promise<void> {
        void this.refreshLoop();
        void this.heartbeatLoop();
        return Promise.resolve();
    }

    /** Stops following the configuration. `current` still returns the configuration that was active last. */
    stop(): Promise<void> {
        this.stopped.abort();
        this.watcher?.stop();
        return Promise.resolve();
    }

    current(): ConfigurationView | undefined {
        return this.active.current();
    }

    subscribe(listener: (view: ConfigurationView) => void): () => void {
        return this.active.subscribe(listener);
    }

    /**
     * Waits until `revision` or a higher one is active in this process.
     *
     * @param opts.timeoutMs maximum time to wait
     * @returns whether it is active
     */
    async waitFor(revision: Revision, opts: { timeoutMs: number; }): Promise<boolean> {
        const aborter = new AbortController();
        const unsubscribe = this.active.subscribe(view => view.revision >= revision && aborter.abort());
        if (this.active.revision < revision) {
            await sleep(this.opts.clock, opts.timeoutMs, aborter.signal);
        }
        unsubscribe();
        return this.active.revision >= revision;
    }

    /**
     * Returns how many processes of the region have `revision` or a higher one active. Rejects if the instance list is
     * unavailable.
     *
     * @param revision the active revision of this process by default
     */
    inForce(revision: Revision = this.active.revision): Promise<ActiveRevisionReport> {
        const query = new ActiveRevisionQuery({ ...this.opts, ownMembers: () => this.members() });
        return query.run(revision);
    }

    private members(): MemberRevision[] {
        const self = { instanceId: this.opts.identity.instanceId, revision: this.active.revision };
        return [self, ...this.reports.members(this.opts.clock.nowMs())];
    }

    private async refreshLoop(): Promise<void> {
        while (!this.stopped.signal.aborted) {
            await this.neighbours.refreshIfDue();
            this.updateWatcher();
            await this.pause(REFRESH_PERIOD_MS);
        }
    }

    /** Follows the key-value service while this process is a watcher or no parent responds. */
    private updateWatcher(): void {
        const isOrphan = this.opts.clock.nowMs() - this.lastParentContactAtMs > ORPHAN_TIMEOUT_MS;
        if (this.stopped.signal.aborted) {
            return;
        }
        if (this.neighbours.position.isWatcher || isOrphan) {
            this.watcher?.start();
        }
        else {
            this.watcher?.stop();
        }
    }

    private async heartbeatLoop(): Promise<void> {
        const { clock, metrics, random } = this.opts;
        let dueAtMs = 0;
        while (!this.stopped.signal.aborted) {
            if (this.needsHeartbeatNow() || clock.nowMs() >= dueAtMs) {
                this.sendHeartbeats();
                metrics.gauge("configuration.revision", this.active.revision);
                dueAtMs = clock.nowMs() + HEARTBEAT_PERIOD_MS * (1 + random.next() * JITTER_SHARE);
            }
            await this.pause(PARENT_CHECK_PERIOD_MS);
        }
    }

    /**
     * Returns whether to send heartbeats at every check instead of every period. This is so while the parent has not
     * responded since its link was opened and, on a watcher, while there is no configuration.
     */
    private needsHeartbeatNow(): boolean {
        if (this.neighbours.position.isWatcher) {
            return this.active.root === undefined;
        }
        const parent = this.neighbours.parents().at(0)?.peer?.instanceId;
        if (parent === undefined || parent !== this.respondingParent) {
            this.respondingParent = undefined;
        }
        return this.respondingParent === undefined;
    }

    private sendHeartbeats(): void {
        this.reportUpwards();
        this.neighbours.siblings().forEach(link => link.notify(heartbeatNotification, this.heartbeatMessage([])));
    }

    private reportUpwards(): void {
        this.neighbours.parents().forEach(link =>
            link.notify(heartbeatNotification, this.heartbeatMessage(this.members()))
        );
    }

    private heartbeatMessage(
        members: MemberRevision[],
    ): { revision: Revision; digest: string; members: MemberRevision[]; } {
        return { revision: this.active.revision, digest: this.active.root?.digest ?? "", members };
    }

    private pause(periodMs: number): Promise<void> {
        const { clock, random } = this.opts;
        return sleep(clock, periodMs * (1 + random.next() * JITTER_SHARE), this.stopped.signal);
    }

    private handleHeartbeat(
        heartbeat: { revision: Revision; digest: string; members: MemberRevision[]; },
        peer: PeerIdentity,
    ): void {
        if (this.stopped.signal.aborted) {
            return;
        }
        if (
            heartbeat.members.length > 0
            && this.reports.record(peer.instanceId, heartbeat.members, this.opts.clock.nowMs())
        ) {
            this.scheduleReport();
        }
        const announcement = { revision: this.active.revision, digest: this.active.root?.digest ?? "" };
        this.neighbours.linkTo(peer)?.notify(announceNotification, announcement);
        this.fetcher.fetchIfNewer(heartbeat.revision, peer);
    }

    private handleAnnouncement(revision: Revision, peer: PeerIdentity): void {
        if (this.neighbours.isParent(peer)) {
            this.lastParentContactAtMs = this.opts.clock.nowMs();
        }
        this.respondingParent = peer.instanceId;
        this.fetcher.fetchIfNewer(revision, peer);
    }

    private handleRoot(root: ConfigurationRoot): void {
        if (this.keyValueSource !== undefined) {
            void this.fetcher.adopt(root, this.keyValueSource);
        }
    }

    private handleAdopted(adopted: { root: ConfigurationRoot; before: ConfigurationTree; }): void {
        const { root } = adopted;
        const ageMs = this.opts.clock.nowMs() - root.publishedAtMs;
        this.opts.logger.info("configuration-adopted", { revision: root.revision, ageMs: Math.round(ageMs) });
        this.opts.metrics.timing("configuration.in_force_ms", ageMs);
        this.forward(root, adopted.before);
        this.scheduleReport();
    }

    private forward(root: ConfigurationRoot, before: ConfigurationTree): void {
        const links = [
            ...this.reports.children(this.opts.clock.nowMs()).flatMap(child => this.neighbours.linkToId(child) ?? []),
            ...this.neighbours.siblings(),
        ];
        if (links.length === 0) {
            return;
        }
        const chunks = addedChunks(before, this.active.tree);
        const sizeCharacters = chunks.reduce((sum, chunk) => sum + chunk.text.length, 0);
        const delta = { root, chunks: sizeCharacters > MAX_DELTA_CHARACTERS ? [] : chunks };
        links.forEach(link => link.notify(deltaNotification, delta));
    }

    /** Reports to the parent after a short delay, to combine reports that arrive in the meantime. */
    private scheduleReport(): void {
        if (this.isReportScheduled) {
            return;
        }
        this.isReportScheduled = true;
        this.opts.clock.setTimer(REPORT_DELAY_MS, () => {
            this.isReportScheduled = false;
            if (!this.stopped.signal.aborted) {
                this.reportUpwards();
            }
        });
    }
}
