import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { HostPort } from "@knapweedwood/fleet.view/hostPort";
import type { EncodedReport } from "./encodedReport.js";
import type { LoadPeer } from "./loadPeer.js";
import { RelayChoice } from "./relayChoice.js";
import { RelayRanking } from "./relayRanking.js";

/** Time for which a process counts as chosen after a report was sent to it for that, in milliseconds. */
const LINGER_MS = 1000;
/** Longest time between two messages of a relay. Those who send to it notice by them that it is running. */
const HEARTBEAT_MS = 100;

interface RelayTask {
    targets: HostPort[];
    reports: EncodedReport[];
}

interface ReportRelayOptions {
    self: Pick<LoadPeer, "instanceName" | "zone" | "isPreferredRelay">;
    /** Returns all other processes. The same map is returned until they may have changed. */
    peers: () => ReadonlyMap<InstanceName, LoadPeer>;
}

/**
 * Decides who gets which load reports in a large fleet. A process sends its report to a relay of its zone. The relay
 * gathers the reports of its zone and sends them, many in a message, to the zone's processes and to a relay of each
 * other zone, which hands them on in its zone. A process sends and receives so as many messages as there are zones, and
 * not as there are processes, and each report crosses between two zones once.
 *
 * Load pattern: dozens of gateways, each of whose loads changes many times a second.
 */
export class ReportRelay {
    private readonly opts: ReportRelayOptions;
    private readonly choice = new RelayChoice();
    private readonly ranking: RelayRanking;
    /** Reports not handed on yet, by the process that they describe. */
    private ofZone = new Map<InstanceName, EncodedReport>();
    private ofOtherZones = new Map<InstanceName, EncodedReport>();
    private relaysUntilMs = -Infinity;
    private relayedAtMs = -Infinity;
    private knownPeers: ReadonlyMap<InstanceName, LoadPeer> | undefined;
    /** Addresses of the processes of this zone that act on the load, among the known peers. */
    private zoneTargets: HostPort[] = [];

    constructor(opts: ReportRelayOptions) {
        this.opts = opts;
        this.ranking = new RelayRanking(() => [opts.self, ...opts.peers().values()]);
    }

    /** Returns the relays of this zone to which this process sends its report, shape [relays]. May contain itself. */
    relaysOfZone(nowMs: number): InstanceName[] {
        return this.choose(this.rankedInZone(nowMs), nowMs);
    }

    /** Returns the processes of this zone, including this one, the preferred relays first, shape [processes]. */
    rankedInZone(nowMs: number): readonly InstanceName[] {
        return this.ranking.byZone(nowMs).get(this.opts.self.zone) ?? [];
    }

    /** Adds the report of a process of this zone, possibly this one, that chose this process as its relay. */
    addDirect(report: EncodedReport, nowMs: number): void {
        this.ofZone.set(report.report.instanceName, report);
        this.relaysUntilMs = nowMs + LINGER_MS;
    }

    /** Adds reports that a relay has sent. Those of other zones are handed on in this zone. */
    addRelayed(sender: InstanceName, reports: readonly EncodedReport[], nowMs: number): void {
        this.choice.onHeard(sender, nowMs);
        const zone = this.opts.peers().get(sender)?.zone;
        if (zone !== undefined && zone !== this.opts.self.zone) {
            reports.forEach(report => this.ofOtherZones.set(report.report.instanceName, report));
        }
    }

    /** Whether processes of this zone have chosen this one as their relay. */
    isChosen(nowMs: number): boolean {
        return nowMs < this.relaysUntilMs;
    }

    /** Whether there is something to send now or later. */
    isActive(nowMs: number): boolean {
        return this.isChosen(nowMs) || this.ofOtherZones.size > 0;
    }

    /** Returns what to send now and to whom, shape [tasks]. */
    takeTasks(nowMs: number): RelayTask[] {
        const ofZone = [...this.ofZone.values()];
        const all = [...ofZone, ...this.ofOtherZones.values()];
        const isHeartbeatDue = this.isChosen(nowMs) && nowMs >= this.relayedAtMs + HEARTBEAT_MS;
        if (all.length === 0 && !isHeartbeatDue) {
            return [];
        }
        this.ofZone = new Map();
        this.ofOtherZones = new Map();
        this.relayedAtMs = nowMs;
        return [
            { targets: this.membersOfZone(), reports: all },
            ...ofZone.length > 0 || isHeartbeatDue
                ? [{ targets: this.relaysOfOtherZones(nowMs), reports: ofZone }]
                : [],
        ];
    }

    private membersOfZone(): HostPort[] {
        const peers = this.opts.peers();
        if (peers !== this.knownPeers) {
            this.knownPeers = peers;
            this.zoneTargets = [...peers.values()]
                .filter(peer => peer.zone === this.opts.self.zone && peer.placesByLoad)
                .map(peer => peer.address);
        }
        return this.zoneTargets;
    }

    private relaysOfOtherZones(nowMs: number): HostPort[] {
        return [...this.ranking.byZone(nowMs)]
            .filter(([zone]) => zone !== this.opts.self.zone)
            .flatMap(([, ranked]) => this.choose(ranked, nowMs))
            .flatMap(name => this.opts.peers().get(name)?.address ?? []);
    }

    private choose(ranked: readonly InstanceName[], nowMs: number): InstanceName[] {
        // A process always reaches itself.
        this.choice.onHeard(this.opts.self.instanceName, nowMs);
        return this.choice.choose(ranked, nowMs);
    }
}
