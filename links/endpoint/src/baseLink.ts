import type { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { CallDefinition } from "@knapweedwood/links.calls/callDefinition";
import type { CallOptions } from "@knapweedwood/links.calls/callOptions";
import type { Link } from "@knapweedwood/links.calls/link";
import type { NotificationDefinition } from "@knapweedwood/links.calls/notificationDefinition";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";
import type { DecodedMessage } from "./decodedMessage.js";
import { linkChart } from "./linkChart.js";
import type { LinkConnection } from "./linkConnection.js";
import type { LinkContext } from "./linkContext.js";
import type { LinkEvent } from "./linkEvent.js";
import { LinkSession } from "./linkSession.js";
import { protocolVersion } from "./protocolVersion.js";

const ACKNOWLEDGE_AFTER_MESSAGES = 64;
const ACKNOWLEDGE_AFTER_BYTES = 256 << 10;

/** What links have in common at the end that connects and at the end that accepts. */
export abstract class BaseLink implements Link {
    protected readonly context: LinkContext;
    protected readonly session: LinkSession;
    /** The connection in use, once its handshake has ended. */
    protected connection: LinkConnection | undefined;
    private currentState: Link["state"] = linkChart.initial;
    private previousSentBytes = 0;
    private previousReceivedBytes = 0;
    private unacknowledgedMessages = 0;
    private unacknowledgedBytes = 0;

    constructor(context: LinkContext) {
        this.context = context;
        this.session = new LinkSession({ ...context, onPendingMessages: () => this.onPendingMessages() });
    }

    get state(): Link["state"] {
        return this.currentState;
    }

    /** Payload bytes sent over all connections of the link. */
    get sentBytes(): number {
        return this.previousSentBytes + (this.connection?.sentBytes ?? 0);
    }

    /** Payload bytes received over all connections of the link. */
    get receivedBytes(): number {
        return this.previousReceivedBytes + (this.connection?.receivedBytes ?? 0);
    }

    get peer(): PeerIdentity | undefined {
        return this.session.peer;
    }

    /** Calls in flight in both directions. */
    get callCount(): number {
        return this.session.callCount;
    }

    call<Request, Frame>(
        definition: CallDefinition<Request, Frame>,
        request: Request,
        opts: CallOptions = {},
    ): AsyncIterable<Frame> {
        const call = this.session.call(definition.name, request, opts) as AsyncIterable<Frame>;
        this.onCallStarted();
        return call;
    }

    notify<Message>(definition: NotificationDefinition<Message>, message: Message): void {
        if (this.connection === undefined || this.connection.isFull) {
            this.context.metrics.increment("link.notification_dropped");
            return;
        }
        this.connection.sendMessage({ type: "notification", name: definition.name, payload: message });
    }

    abstract close(): void;

    /** Called after a call has been started here. */
    protected abstract onCallStarted(): void;

    /** Called when the other end has ended the session on purpose. */
    protected abstract onGoodbye(): void;

    /** Takes a connection into use after its handshake. */
    protected attach(connection: LinkConnection, peer: PeerIdentity, received: number, maxMessageBytes: number): void {
        this.connection = connection;
        this.session.attach(peer, received, maxMessageBytes);
        this.writePending();
        this.session.onCapacityAvailable();
    }

    /** Stops using the present connection. The session stays. */
    protected detach(): void {
        this.previousSentBytes = this.sentBytes;
        this.previousReceivedBytes = this.receivedBytes;
        this.connection?.terminate();
        this.connection = undefined;
    }

    /** Changes the state of the link where its chart knows the event in the present state. */
    protected transition(event: LinkEvent): void {
        if (linkChart.accepts(this.currentState, event)) {
            this.currentState = linkChart.next(this.currentState, event);
        }
    }

    /** Writes what is due while the connection has room. */
    protected writePending(): void {
        while (this.connection !== undefined && !this.connection.isFull) {
            const bytes = this.session.next();
            if (bytes === undefined) {
                return;
            }
            this.connection.send(bytes);
        }
    }

    /** Takes in a message that either kind of link treats alike. */
    protected receive(decoded: DecodedMessage): void {
        const { message } = decoded;
        switch (message.type) {
            case "notification":
                this.onNotification(message.name, message.payload);
                return;
            case "acknowledgement":
                this.onAcknowledged(message.received);
                return;
            case "goodbye":
                this.onGoodbye();
                return;
            default:
                if ("number" in message) {
                    this.session.receive(decoded);
                    this.acknowledgeReceived(decoded.sizeBytes);
                }
        }
    }

    protected onAcknowledged(received: number): void {
        this.session.acknowledge(received);
        this.writePending();
    }

    /** Called when a connection has room again. */
    protected onDrained(): void {
        this.writePending();
        this.session.onCapacityAvailable();
    }

    /** Counts and logs an event in the life of the link. */
    protected recordEvent(event: string, reason?: KnapweedError): void {
        const fields = reason === undefined ? {} : { code: reason.code, reason: reason.message };
        this.context.metrics.increment(event);
        this.context.logger.info(event, { ...fields, peer: this.peer?.instanceId, protocolVersion });
    }

    private onPendingMessages(): void {
        this.writePending();
    }

    private onNotification(name: string, payload: unknown): void {
        const peer = this.peer;
        if (peer !== undefined) {
            this.context.registry.notificationHandlers.get(name)?.(payload, peer);
        }
    }

    private acknowledgeReceived(sizeBytes: number): void {
        this.unacknowledgedMessages += 1;
        this.unacknowledgedBytes += sizeBytes;
        if (
            this.unacknowledgedMessages >= ACKNOWLEDGE_AFTER_MESSAGES
            || this.unacknowledgedBytes >= ACKNOWLEDGE_AFTER_BYTES
        ) {
            this.connection?.sendMessage({ type: "acknowledgement", received: this.session.received });
            this.unacknowledgedMessages = 0;
            this.unacknowledgedBytes = 0;
        }
    }
}
