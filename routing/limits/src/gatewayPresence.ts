import type { InstanceName } from "@knapweedwood/core.ids/instanceName";

interface GatewayPresenceOptions {
    /** Returns the other gateways that are listed, shape [gateways]. */
    listedPeers: () => readonly InstanceName[];
    startedAtMs: number;
}

interface Peer {
    heardAtMs: number;
    /** Metered time withheld since the last report because of the peer's silence, in milliseconds. */
    withheldMs: number;
}

/** Time without requests of limited teams after which gateways report as seldom as without teams, in milliseconds. */
const ACTIVE_MS = 1000;
/** Time after which an unheard peer counts as silent while no requests arrive: two of its intervals, in milliseconds. */
const IDLE_SILENCE_MS = 600;
/**
 * The same while requests arrive, for the rate, in milliseconds. Short, since gateways that are cut off from each other use
 * the whole rate for this time. What is withheld from a peer that reports less often is returned with its next report.
 */
const RATE_SILENCE_MS = 10;
/**
 * The same for the burst, in milliseconds: two intervals of 100 ms and the delay. A smaller burst rejects requests below
 * the limit. Also the longest silence after which the first report is certain to contain all that the peer has admitted.
 */
const BURST_SILENCE_MS = 300;
/** Time between two uses above which this process was suspended, so that its view is outdated, in milliseconds. */
const FREEZE_MS = 450;
/** Time after a suspension in which reports may be old ones that arrived during it, in milliseconds. */
const DISTRUST_MS = 100;
/** Time between updates, in milliseconds, since each visits all peers. */
const UPDATE_INTERVAL_MS = 10;
/** Time for which a peer that is not listed is counted after its last report, in milliseconds. */
const UNLISTED_RETENTION_MS = 10_000;

/**
 * Tracks which other gateways are heard, and so which share of the limits this gateway may use. Gateways that can't hear
 * each other thereby use separate shares: of the bursts, (heard gateways and itself) / (known gateways and itself).
 * Buckets drain by a metered time. A silent peer's share of it is withheld, since the peer may be using it.
 */
export class GatewayPresence {
    /** Share of the bursts that this gateway may use, in (0, 1]. */
    share = 1;
    /** Elapsed time without the withheld parts, in milliseconds. */
    meteredMs = 0;
    private readonly opts: GatewayPresenceOptions;
    private readonly peers = new Map<InstanceName, Peer>();
    private updatedAtMs: number;
    private trustedAtMs = -Infinity;
    private activeAtMs = -Infinity;
    private activeSinceMs = -Infinity;

    constructor(opts: GatewayPresenceOptions) {
        this.opts = opts;
        this.updatedAtMs = opts.startedAtMs;
    }

    /** Advances the metered time. Has to be called before each use, and at least every 300 ms. */
    advance(nowMs: number): void {
        const elapsedMs = nowMs - this.updatedAtMs;
        if (elapsedMs < UPDATE_INTERVAL_MS) {
            return;
        }
        if (elapsedMs > FREEZE_MS) {
            this.peers.clear();
            this.trustedAtMs = nowMs + DISTRUST_MS;
        }
        this.update(elapsedMs, nowMs);
    }

    /**
     * Records that requests of limited teams arrive at some gateway.
     *
     * @returns whether they just began to arrive
     */
    onActivity(nowMs: number): boolean {
        const isBeginning = !this.isActive(nowMs);
        this.activeAtMs = nowMs;
        if (isBeginning) {
            this.activeSinceMs = nowMs;
        }
        return isBeginning;
    }

    /** Whether requests of limited teams arrived at some gateway a short time ago. */
    isActive(nowMs: number): boolean {
        return nowMs < this.activeAtMs + ACTIVE_MS;
    }

    /**
     * Records a report of another gateway. After a short silence the report tells what the peer has admitted meanwhile,
     * so the time withheld for that is returned.
     *
     * @returns whether the gateway had been silent for long
     */
    onHeard(name: InstanceName, nowMs: number): boolean {
        if (nowMs < this.trustedAtMs) {
            return true;
        }
        const peer = this.peers.get(name);
        if (peer !== undefined && this.silenceMs(peer, nowMs) <= BURST_SILENCE_MS) {
            this.meteredMs += peer.withheldMs;
        }
        this.peers.set(name, { heardAtMs: nowMs, withheldMs: 0 });
        return peer === undefined || nowMs > peer.heardAtMs + IDLE_SILENCE_MS;
    }

    /** Returns the time since the last report of the listed gateway that was not heard for longest, in milliseconds. */
    oldestReportAgeMs(nowMs: number): number {
        return Math.max(
            0,
            ...this.opts.listedPeers().map(name => nowMs - (this.peers.get(name)?.heardAtMs ?? -Infinity)),
        );
    }

    private update(elapsedMs: number, nowMs: number): void {
        this.updatedAtMs = nowMs;
        const listed = this.opts.listedPeers();
        [...this.peers]
            .filter(([name, peer]) => nowMs > peer.heardAtMs + UNLISTED_RETENTION_MS && !listed.includes(name))
            .forEach(([name]) => this.peers.delete(name));
        const names = new Set([...listed, ...this.peers.keys()]);
        const heard = [...this.peers.values()].filter(peer => this.silenceMs(peer, nowMs) <= BURST_SILENCE_MS);
        const partMs = elapsedMs / (names.size + 1);
        const silent = heard.filter(peer => this.silenceMs(peer, nowMs) > RATE_SILENCE_MS);
        silent.forEach(peer => {
            peer.withheldMs += partMs;
        });
        this.share = (heard.length + 1) / (names.size + 1);
        this.meteredMs += partMs * (heard.length - silent.length + 1);
    }

    /**
     * Returns the time for which a peer counts as silent. Peers report often only while requests arrive, so a short silence
     * counts from the first request on.
     */
    private silenceMs({ heardAtMs }: Peer, nowMs: number): number {
        if (nowMs > heardAtMs + IDLE_SILENCE_MS) {
            return Infinity;
        }
        return this.isActive(nowMs) ? nowMs - Math.max(heardAtMs, this.activeSinceMs) : 0;
    }
}
