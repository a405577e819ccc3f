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

/** Base class of the dialing and the accepting end of a link. */
export abstract class BaseLink implements Link {
    protected readonly context: LinkContext;
    protected readonly session: LinkSession;
    /** The current connection; set once its handshake has completed. */
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

    /** Number of calls in progress, in both directions. */
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

    /** Called after this end has started a call. */
    protected abstract onCallStarted(): void;

    /** Called when the peer has ended the session deliberately. */
    protected abstract onGoodbye(): void;

    /** Starts using a connection after its handshake. The peer has the session messages up to `received`. */
    protected attach(connection: LinkConnection, peer: PeerIdentity, received: number, maxMessageBytes: number): void {
        this.connection = connection;
        this.session.attach(peer, received, maxMessageBytes);
        this.writePending();
        this.session.onCapacityAvailable();
    }

    /** Terminates the current connection. The session is kept. */
    protected detach(): void {
        this.previousSentBytes = this.sentBytes;
        this.previousReceivedBytes = this.receivedBytes;
        this.connection?.terminate();
        this.connection = undefined;
    }

    /** Applies an event to the state of the link. Ignores events that the chart doesn't accept in that state. */
    protected transition(event: LinkEvent): void {
        if (linkChart.accepts(this.currentState, event)) {
            this.currentState = linkChart.next(this.currentState, event);
        }
    }

    /** Writes pending messages until the send buffer of the connection is full. */
    protected writePending(): void {
        while (this.connection !== undefined && !this.connection.isFull) {
            const bytes = this.session.next();
            if (bytes === undefined) {
                return;
            }
            this.connection.send(bytes);
        }
    }

    /** Handles a message that both ends of a link treat alike. */
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

    /** Called when the connection can accept more data. */
    protected onDrained(): void {
        this.writePending();
        this.session.onCapacityAvailable();
    }

    /** Counts an event of the link as a metric and logs it. */
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
