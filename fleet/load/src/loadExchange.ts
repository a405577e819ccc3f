import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Timer } from "@knapweedwood/core.clock/timer";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { HostPort } from "@knapweedwood/fleet.view/hostPort";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { DatagramChannel } from "./datagramChannel.js";
import type { EncodedReport } from "./encodedReport.js";
import type { LoadPeer } from "./loadPeer.js";
import type { LoadReport } from "./loadReport.js";
import { LoadReportCodec } from "./loadReportCodec.js";
import { ReportRelay } from "./reportRelay.js";

/** Shortest time between two reports of this process, and between two messages of a relay, in milliseconds. */
const MIN_INTERVAL_MS = 15;
const MIN_RELAY_INTERVAL_MS = 8;
/** Time between reports while nothing changes, in milliseconds. */
const HEARTBEAT_INTERVAL_MS = 300;
/** Time between reports to processes that don't act on the load, and from them in a large fleet, in milliseconds. */
const DISTANT_INTERVAL_MS = 1000;
/** Number of processes that act on the load up to which each report goes to all of them directly. */
const MAX_DIRECT_PEERS = 16;
/** Time for which the list of peers is used, in milliseconds. */
const PEERS_VALID_MS = 100;

interface LoadExchangeOptions {
    clock: Clock;
    logger: Logger;
    channel: DatagramChannel;
    self: Pick<LoadPeer, "instanceName" | "zone" | "isPreferredRelay">;
    /** Whether this process acts on the load. */
    placesByLoad: () => boolean;
    /** Returns the other processes, shape [processes]. */
    peers: () => LoadPeer[];
    /** Returns the current report. */
    createReport: () => LoadReport;
    onReport: (report: LoadReport) => void;
    /** Returns the time until the next report while nothing changes, in milliseconds; 300 without this. */
    intervalMs?: () => number;
}

/**
 * Sends this process's load reports to its peers as datagrams and receives theirs. Each report contains the complete
 * state, so the next report makes up for a lost one. A small fleet sends each report to everyone who acts on it; in a
 * large one relays hand the reports on.
 */
export class LoadExchange {
    private readonly opts: LoadExchangeOptions;
    private readonly codec = new LoadReportCodec();
    private readonly relay: ReportRelay;
    private isOpen = false;
    private timer: Timer | undefined;
    private relayTimer: Timer | undefined;
    private sentAtMs = -Infinity;
    private relayedAtMs = -Infinity;
    private distantSentAtMs = -Infinity;
    private isDirty = false;
    private loggedRelays = "";
    private peers: LoadPeer[] = [];
    private peersByName = new Map<InstanceName, LoadPeer>();
    private peersAtMs = -Infinity;
    private isLarge = false;

    constructor(opts: LoadExchangeOptions) {
        this.opts = opts;
        this.relay = new ReportRelay({ self: opts.self, peers: () => this.peersByName });
    }

    /** Opens the channel and starts to send reports. Rejects if the address can't be bound. */
    async listen(): Promise<void> {
        await this.opts.channel.open(bytes => this.onMessage(bytes));
        this.isOpen = true;
        this.schedule(0);
    }

    /** Schedules a report, at least `MIN_INTERVAL_MS` after the previous one. */
    markChanged(): void {
        if (!this.isDirty) {
            this.isDirty = true;
            this.schedule(Math.max(0, this.sentAtMs + MIN_INTERVAL_MS - this.opts.clock.nowMs()));
        }
    }

    /** Stops sending and receiving reports. */
    close(): void {
        this.isOpen = false;
        this.timer?.cancel();
        this.relayTimer?.cancel();
        this.opts.channel.close();
    }

    private schedule(delayMs: number): void {
        this.timer?.cancel();
        this.timer = this.opts.clock.setTimer(delayMs, () => this.send());
    }

    private send(): void {
        if (!this.isOpen) {
            return;
        }
        this.isDirty = false;
        this.sentAtMs = this.opts.clock.nowMs();
        const report = this.opts.createReport();
        const encoded = { report, bytes: this.codec.encode(report) };
        this.updatePeers(this.sentAtMs);
        if (this.isLarge) {
            this.sendToRelays(encoded);
        }
        else {
            this.sendDirectly(encoded);
        }
        this.schedule(this.isLarge && !this.opts.placesByLoad() ? DISTANT_INTERVAL_MS : this.intervalMs());
    }

    private intervalMs(): number {
        return Math.min(HEARTBEAT_INTERVAL_MS, this.opts.intervalMs?.() ?? HEARTBEAT_INTERVAL_MS);
    }

    private updatePeers(nowMs: number): void {
        if (nowMs >= this.peersAtMs + PEERS_VALID_MS) {
            this.peersAtMs = nowMs;
            this.peers = this.opts.peers();
            this.peersByName = new Map(this.peers.map(peer => [peer.instanceName, peer]));
            this.isLarge = this.peers.filter(peer => peer.placesByLoad).length > MAX_DIRECT_PEERS;
        }
    }

    private sendDirectly({ bytes }: EncodedReport): void {
        const isDistantDue = this.isDistantDue();
        this.peers
            .filter(peer => peer.placesByLoad || isDistantDue)
            .forEach(peer => this.opts.channel.send(bytes, peer.address));
    }

    private sendToRelays(encoded: EncodedReport): void {
        const nowMs = this.sentAtMs;
        // One that doesn't act on the load gets no messages that show which relay is running.
        const relays = this.opts.placesByLoad()
            ? this.relay.relaysOfZone(nowMs)
            : this.relay.rankedInZone(nowMs).slice(0, 1);
        this.logRelays(relays);
        if (relays.includes(this.opts.self.instanceName)) {
            this.relay.addDirect(encoded, nowMs);
            this.scheduleRelay();
        }
        relays
            .flatMap(name => this.peersByName.get(name) ?? [])
            .forEach(peer => this.opts.channel.send(encoded.bytes, peer.address));
        if (this.relay.isChosen(nowMs) && this.isDistantDue()) {
            const standbys = this.peers.filter(peer => peer.zone === this.opts.self.zone && !peer.placesByLoad);
            this.sendRelayed(standbys.map(peer => peer.address), [encoded]);
        }
    }

    private logRelays(relays: readonly InstanceName[]): void {
        const names = relays.join(" ");
        if (names !== this.loggedRelays) {
            this.loggedRelays = names;
            this.opts.logger.info("load-relays-changed", { relays: names });
        }
    }

    private isDistantDue(): boolean {
        const isDue = this.sentAtMs >= this.distantSentAtMs + DISTANT_INTERVAL_MS;
        this.distantSentAtMs = isDue ? this.sentAtMs : this.distantSentAtMs;
        return isDue;
    }

    private scheduleRelay(): void {
        const { clock } = this.opts;
        if (this.relayTimer !== undefined || !this.isOpen || !this.relay.isActive(clock.nowMs())) {
            return;
        }
        const delayMs = Math.max(0, this.relayedAtMs + MIN_RELAY_INTERVAL_MS - clock.nowMs());
        this.relayTimer = clock.setTimer(delayMs, () => {
            this.relayTimer = undefined;
            this.relayedAtMs = clock.nowMs();
            this.relay.takeTasks(this.relayedAtMs).forEach(({ targets, reports }) =>
                this.sendRelayed(targets, reports)
            );
            this.scheduleRelay();
        });
    }

    private sendRelayed(targets: readonly HostPort[], reports: readonly EncodedReport[]): void {
        this.codec.encodeRelayed(this.opts.self.instanceName, reports)
            .forEach(bytes => targets.forEach(target => this.opts.channel.send(bytes, target)));
    }

    private onMessage(bytes: Buffer): void {
        try {
            const message = this.codec.decodeMessage(bytes);
            const nowMs = this.opts.clock.nowMs();
            if (message.kind === "direct") {
                this.onDirect(message.report, nowMs);
                return;
            }
            this.relay.addRelayed(message.sender, message.reports, nowMs);
            message.reports.forEach(({ report }) => this.onReport(report));
            this.scheduleRelay();
        }
        catch (error) {
            this.opts.logger.warn("load-report-unreadable", { message: (error as Error).message });
        }
    }

    private onDirect(encoded: EncodedReport, nowMs: number): void {
        this.updatePeers(nowMs);
        const sender = this.peersByName.get(encoded.report.instanceName);
        if (sender?.zone === this.opts.self.zone && this.isLarge) {
            this.relay.addDirect(encoded, nowMs);
            this.scheduleRelay();
        }
        this.onReport(encoded.report);
    }

    private onReport(report: LoadReport): void {
        if (report.instanceName !== this.opts.self.instanceName) {
            this.opts.onReport(report);
        }
    }
}
