import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Timer } from "@knapweedwood/core.clock/timer";
import type { HostPort } from "@knapweedwood/fleet.view/hostPort";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import { createSocket, type Socket } from "node:dgram";
import type { LoadReport } from "./loadReport.js";
import { LoadReportCodec } from "./loadReportCodec.js";

/** Shortest time between two reports, in milliseconds. */
const MIN_INTERVAL_MS = 15;
/** Time between reports while nothing changes, in milliseconds. */
const HEARTBEAT_INTERVAL_MS = 300;
/** Time between reports to distant peers, which don't act on the load, in milliseconds. */
const DISTANT_INTERVAL_MS = 1000;

interface LoadExchangeOptions {
    clock: Clock;
    logger: Logger;
    host: string;
    port: number;
    /** Processes that act on this process's load. */
    peers: () => HostPort[];
    /** Processes that only need to see that this process is running and which revisions it has reached. */
    distantPeers: () => HostPort[];
    /** Returns the current report. */
    createReport: () => LoadReport;
    onReport: (report: LoadReport) => void;
}

/**
 * Sends this process's load reports to its peers as UDP datagrams and receives theirs. Each report contains the
 * complete state, so the next report makes up for a lost one.
 */
export class LoadExchange {
    private readonly opts: LoadExchangeOptions;
    private readonly codec = new LoadReportCodec();
    private socket: Socket | undefined;
    private timer: Timer | undefined;
    private sentAtMs = -Infinity;
    private distantSentAtMs = -Infinity;
    private isDirty = false;

    constructor(opts: LoadExchangeOptions) {
        this.opts = opts;
    }

    /** Opens the socket and starts to send reports. Rejects if the address can't be bound. */
    async listen(): Promise<void> {
        const socket = createSocket("udp4");
        this.socket = socket;
        socket.on("message", bytes => this.onMessage(bytes));
        await new Promise<void>((resolve, reject) => {
            socket.once("error", reject);
            socket.bind(this.opts.port, this.opts.host, resolve);
        });
        socket.removeAllListeners("error");
        socket.on("error", error => this.opts.logger.warn("load-socket-failed", { message: error.message }));
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
        this.timer?.cancel();
        this.socket?.close();
        this.socket = undefined;
    }

    private schedule(delayMs: number): void {
        this.timer?.cancel();
        this.timer = this.opts.clock.setTimer(delayMs, () => this.send());
    }

    private send(): void {
        const { socket } = this;
        if (socket === undefined) {
            return;
        }
        this.isDirty = false;
        this.sentAtMs = this.opts.clock.nowMs();
        const bytes = this.codec.encode(this.opts.createReport());
        const isDistantDue = this.sentAtMs >= this.distantSentAtMs + DISTANT_INTERVAL_MS;
        if (isDistantDue) {
            this.distantSentAtMs = this.sentAtMs;
        }
        const peers = isDistantDue ? [...this.opts.peers(), ...this.opts.distantPeers()] : this.opts.peers();
        peers.forEach(peer => this.sendTo(socket, bytes, peer));
        this.schedule(HEARTBEAT_INTERVAL_MS);
    }

    private sendTo(socket: Socket, bytes: Buffer, peer: HostPort): void {
        socket.send(bytes, peer.port, peer.host, error => {
            if (error !== null) {
                this.opts.logger.debug("load-report-unsent", { peer: peer.host, message: error.message });
            }
        });
    }

    private onMessage(bytes: Buffer): void {
        try {
            this.opts.onReport(this.codec.decode(bytes));
        }
        catch (error) {
            this.opts.logger.warn("load-report-unreadable", { message: (error as Error).message });
        }
    }
}
