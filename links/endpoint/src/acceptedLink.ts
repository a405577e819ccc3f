import type { Timer } from "@knapweedwood/core.clock/timer";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { BaseLink } from "./baseLink.js";
import type { DecodedMessage } from "./decodedMessage.js";
import type { LinkConnection } from "./linkConnection.js";
import type { LinkContext } from "./linkContext.js";
import type { MessageOf } from "./messageOf.js";
import { PingMonitor } from "./pingMonitor.js";
import { protocolVersion } from "./protocolVersion.js";

interface AcceptedLinkOptions {
    context: LinkContext;
    onClosed: () => void;
}

const BAD_MESSAGE_CODE = "ERR_KNAPWEED_LINK_BAD_MESSAGE";

/** The accepting end of a link. Keeps the session for `resumeGraceMs` milliseconds after its connection is lost. */
export class AcceptedLink extends BaseLink {
    private readonly opts: AcceptedLinkOptions;
    private pingMonitor: PingMonitor;
    private timer: Timer | undefined;
    private timerDueMs = 0;

    constructor(opts: AcceptedLinkOptions) {
        super(opts.context);
        this.opts = opts;
        this.pingMonitor = this.createPingMonitor();
    }

    /** Whether the link has a connection. */
    get isAttached(): boolean {
        return this.connection !== undefined;
    }

    /** Switches to a new connection, whose `hello` named this session, and sends the `welcome`. */
    accept(connection: LinkConnection, hello: MessageOf<"hello">, isNew: boolean): void {
        this.detach();
        this.pingMonitor = this.createPingMonitor();
        this.transition("welcomed");
        connection.sendMessage({
            type: "welcome",
            version: Math.min(protocolVersion, hello.version),
            identity: this.context.identity,
            resumed: !isNew,
            received: this.session.received,
            maxMessageBytes: this.context.limits.maxMessageBytes,
        });
        this.attach(connection, hello.identity, isNew ? 0 : hello.received, hello.maxMessageBytes);
        this.recordEvent(isNew ? "link.accepted" : "link.accepted_again");
        this.setTimer(this.context.limits.heartbeatIntervalMs, () => this.checkLiveness());
    }

    /** Handles a message. Drops it where `from` is a connection that has been replaced. */
    onMessage(from: LinkConnection, decoded: DecodedMessage): void {
        const { message } = decoded;
        if (from !== this.connection) {
            return;
        }
        if (message.type === "ping") {
            this.pingMonitor.onPing(this.context.clock.nowMs(), message.intervalMs);
            this.transition("beatAnswered");
            this.connection.sendMessage({
                type: "pong",
                sequence: message.sequence,
                received: this.session.received,
            });
            this.onAcknowledged(message.received);
            return;
        }
        this.receive(decoded);
    }

    onConnectionClosed(from: LinkConnection, reason: KnapweedError): void {
        if (from !== this.connection) {
            return;
        }
        if (reason.code === BAD_MESSAGE_CODE) {
            this.end(reason);
            return;
        }
        this.dropConnection(reason);
    }

    onConnectionDrained(from: LinkConnection): void {
        if (from === this.connection) {
            this.onDrained();
        }
    }

    close(): void {
        this.end(new KnapweedError("LINK_CLOSED", "The link was closed by this process"), true);
    }

    /** Ends the session permanently. */
    end(reason: KnapweedError, sendGoodbye = false): void {
        if (this.state === "closed") {
            return;
        }
        this.transition("closed");
        this.timer?.cancel();
        this.session.end(reason);
        if (sendGoodbye && this.connection !== undefined) {
            this.connection.sendMessage({ type: "goodbye" });
            this.connection.close();
            this.connection = undefined;
        }
        this.detach();
        this.opts.onClosed();
    }

    protected onCallStarted(): void {
        if (this.state === "closed") {
            this.session.failUnwritten("LINK_CLOSED", "The link is closed");
        }
    }

    protected onGoodbye(): void {
        this.end(new KnapweedError("LINK_CLOSED", "The peer closed the link"));
    }

    private checkLiveness(): void {
        const nowMs = this.context.clock.nowMs();
        this.pingMonitor.excludeStall(Math.max(0, nowMs - this.timerDueMs));
        const liveness = this.pingMonitor.liveness(nowMs);
        if (liveness === "silent") {
            this.dropConnection(new KnapweedError("LINK_SILENT", "The peer sent no ping in time"));
            return;
        }
        this.transition(liveness === "suspect" ? "beatMissed" : "beatAnswered");
        const { heartbeatIntervalMs, idleHeartbeatIntervalMs } = this.context.limits;
        this.setTimer(this.callCount > 0 ? heartbeatIntervalMs : idleHeartbeatIntervalMs, () => this.checkLiveness());
    }

    private dropConnection(reason: KnapweedError): void {
        this.detach();
        this.transition("lostByPeer");
        this.recordEvent("link.lost", reason);
        this.setTimer(this.context.limits.resumeGraceMs, () => {
            this.end(new KnapweedError("LINK_LOST", "The peer did not resume the link in time"));
        });
    }

    private createPingMonitor(): PingMonitor {
        return new PingMonitor({ silentAfterMs: this.context.limits.silentAfterMs }, this.context.clock.nowMs());
    }

    private setTimer(delayMs: number, action: () => void): void {
        this.timer?.cancel();
        this.timerDueMs = this.context.clock.nowMs() + delayMs;
        this.timer = this.context.clock.setTimer(delayMs, action);
    }
}
