import { setDeadlineTimer } from "@knapweedwood/core.clock/setDeadlineTimer";
import type { Timer } from "@knapweedwood/core.clock/timer";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { randomUUID } from "node:crypto";
import type { WebSocket } from "ws";
import { Backoff } from "./backoff.js";
import { BaseLink } from "./baseLink.js";
import type { DecodedMessage } from "./decodedMessage.js";
import { fromErrorRecord } from "./fromErrorRecord.js";
import { HeartbeatMonitor } from "./heartbeatMonitor.js";
import { LinkConnection } from "./linkConnection.js";
import type { LinkContext } from "./linkContext.js";
import type { MessageOf } from "./messageOf.js";
import { oldestProtocolVersion } from "./oldestProtocolVersion.js";
import { protocolVersion } from "./protocolVersion.js";

interface DialedLinkOptions {
    context: LinkContext;
    /** Opens a socket to the peer. */
    openSocket: () => WebSocket;
    onClosed: () => void;
}

const BAD_MESSAGE_CODE = "ERR_KNAPWEED_LINK_BAD_MESSAGE";
/** Consecutive refused connections after which the peer process counts as ended, with its session. */
const REFUSALS_BEFORE_NEW_SESSION = 2;

/** The dialing end of a link. Replaces its connection when that closes or stops responding. */
export class DialedLink extends BaseLink {
    private readonly opts: DialedLinkOptions;
    private sessionId = randomUUID();
    private readonly backoff: Backoff;
    private heartbeatMonitor: HeartbeatMonitor | undefined;
    private attempt: LinkConnection | undefined;
    private timers: { [name: string]: Timer | undefined; } = {};
    private connectionRefusals = 0;

    constructor(opts: DialedLinkOptions) {
        super(opts.context);
        const { limits, random } = opts.context;
        this.opts = opts;
        this.backoff = new Backoff({ baseMs: limits.reconnectBaseMs, maxMs: limits.reconnectMaxMs, random });
        this.dial();
    }

    close(): void {
        if (this.state === "closed") {
            return;
        }
        this.transition("closed");
        this.session.end(new KnapweedError("LINK_CLOSED", "The link was closed by this process"));
        this.connection?.sendMessage({ type: "goodbye" });
        this.connection?.close();
        this.connection = undefined;
        this.attempt?.terminate();
        Object.values(this.timers).forEach(timer => timer?.cancel());
        this.opts.onClosed();
    }

    protected onCallStarted(): void {
        if (this.state === "closed") {
            this.session.failUnwritten("LINK_CLOSED", "The link is closed");
            return;
        }
        if (this.connection === undefined) {
            this.startOpenTimeout();
            return;
        }
        this.runHeartbeat();
    }

    protected onGoodbye(): void {
        this.startNewSession(new KnapweedError("LINK_CLOSED", "The peer closed the link"));
        this.replaceConnection(new KnapweedError("LINK_CLOSED", "The peer closed the link"));
    }

    private dial(): void {
        const { context } = this.opts;
        const socket = this.opts.openSocket();
        const attempt: LinkConnection = new LinkConnection({
            socket,
            clock: context.clock,
            codec: context.codec,
            onMessage: decoded => this.onMessage(attempt, decoded),
            onClosed: reason => this.onConnectionClosed(attempt, reason),
            onDrained: () => this.onDrained(),
        });
        this.attempt = attempt;
        socket.on("open", () => attempt.sendMessage(this.createHello()));
        this.setTimer("connect", context.limits.connectTimeoutMs, () => {
            attempt.terminate();
            this.onConnectionClosed(
                attempt,
                new KnapweedError("LINK_CONNECT_TIMEOUT", "The connection was not established in time"),
            );
        });
    }

    private createHello(): MessageOf<"hello"> {
        return {
            type: "hello",
            version: protocolVersion,
            oldestVersion: oldestProtocolVersion,
            identity: this.context.identity,
            sessionId: this.sessionId,
            received: this.session.received,
            maxMessageBytes: this.context.limits.maxMessageBytes,
        };
    }

    private onMessage(from: LinkConnection, decoded: DecodedMessage): void {
        const { message } = decoded;
        if (message.type === "welcome") {
            this.onWelcome(from, message);
            return;
        }
        if (message.type === "refusal") {
            this.onRefusal(message);
            return;
        }
        if (from !== this.connection) {
            return;
        }
        if (message.type === "pong") {
            this.heartbeatMonitor?.onPong(message.sequence);
            this.transition("beatAnswered");
            this.onAcknowledged(message.received);
            return;
        }
        this.receive(decoded);
    }

    private onWelcome(from: LinkConnection, message: MessageOf<"welcome">): void {
        const { limits } = this.context;
        if (!message.resumed && this.session.hasTraffic) {
            this.session.restart(new KnapweedError("LINK_PEER_REPLACED", "The peer no longer has the session"));
        }
        ["connect", "open", "resume"].forEach(name => this.clearTimer(name));
        this.attempt = undefined;
        this.connectionRefusals = 0;
        this.backoff.reset();
        this.transition("welcomed");
        this.heartbeatMonitor = new HeartbeatMonitor({
            intervalMs: limits.heartbeatIntervalMs,
            idleIntervalMs: limits.idleHeartbeatIntervalMs,
            silentAfterMs: limits.silentAfterMs,
            phaseMs: this.context.heartbeatPhaseMs,
        });
        this.attach(from, message.identity, message.received, message.maxMessageBytes);
        this.recordEvent(message.resumed ? "link.resumed" : "link.opened");
        this.runHeartbeat();
    }

    private onRefusal(message: MessageOf<"refusal">): void {
        const error = fromErrorRecord(message.error);
        this.recordEvent("link.refused", error);
        this.session.failUnwritten(error.code, error.message);
    }

    private runHeartbeat(): void {
        if (this.connection === undefined || this.heartbeatMonitor === undefined) {
            return;
        }
        const decision = this.heartbeatMonitor.tick(this.context.clock.nowMs(), this.callCount > 0);
        if (decision.liveness === "silent") {
            this.replaceConnection(new KnapweedError("LINK_SILENT", "The peer did not respond to a ping in time"));
            return;
        }
        this.transition(decision.liveness === "suspect" ? "beatMissed" : "beatAnswered");
        if (decision.ping !== undefined) {
            this.connection.sendMessage({ type: "ping", ...decision.ping, received: this.session.received });
        }
        this.setTimer("heartbeat", decision.nextTickMs, () => this.runHeartbeat());
    }

    private onConnectionClosed(from: LinkConnection, reason: KnapweedError): void {
        if (from === this.connection || from === this.attempt) {
            this.replaceConnection(reason);
        }
    }

    /** Terminates the current connection and schedules the opening of another. */
    private replaceConnection(reason: KnapweedError): void {
        if (this.state === "closed") {
            return;
        }
        const wasOpen = this.connection !== undefined;
        if (reason.code === BAD_MESSAGE_CODE) {
            this.startNewSession(reason);
        }
        this.detach();
        this.attempt = undefined;
        this.heartbeatMonitor = undefined;
        this.transition("lost");
        ["connect", "heartbeat"].forEach(name => this.clearTimer(name));
        if (wasOpen) {
            this.recordEvent("link.lost", reason);
            this.startResumeTimeout();
            this.startOpenTimeout();
        }
        this.countConnectionRefusal(reason);
        this.setTimer("dial", this.backoff.nextMs(), () => this.dial());
    }

    private countConnectionRefusal(reason: KnapweedError): void {
        const cause = reason.cause as { code?: string; } | undefined;
        this.connectionRefusals = cause?.code === "ECONNREFUSED" ? this.connectionRefusals + 1 : 0;
        if (this.connectionRefusals === REFUSALS_BEFORE_NEW_SESSION) {
            this.startNewSession(new KnapweedError("LINK_PEER_GONE", "No process listens at the address of the peer"));
        }
    }

    /** Ends calls that wait too long for an open connection. */
    private startOpenTimeout(): void {
        if (this.timers["open"] === undefined) {
            this.setTimer("open", this.context.limits.openTimeoutMs, () => {
                this.session.failUnwritten("LINK_NOT_OPEN", "No connection was opened in time");
            });
        }
    }

    private startResumeTimeout(): void {
        this.setTimer("resume", this.context.limits.resumeTimeoutMs, () => {
            this.startNewSession(new KnapweedError("LINK_LOST", "The session was not resumed in time"));
        });
    }

    /** Replaces the session with one of another id, so that the peer can't confuse the two. */
    private startNewSession(reason: KnapweedError): void {
        this.sessionId = randomUUID();
        this.session.restart(reason);
    }

    private setTimer(name: string, delayMs: number, action: () => void): void {
        this.clearTimer(name);
        this.timers[name] = setDeadlineTimer(this.context.clock, delayMs, () => {
            this.timers[name] = undefined;
            action();
        });
    }

    private clearTimer(name: string): void {
        this.timers[name]?.cancel();
        this.timers[name] = undefined;
    }
}
