import type { Clock } from "@knapweedwood/core.clock/clock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { CallOptions } from "@knapweedwood/links.calls/callOptions";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";
import type { CallRegistry } from "./callRegistry.js";
import type { DecodedMessage } from "./decodedMessage.js";
import { IncomingCalls } from "./incomingCalls.js";
import type { LinkLimits } from "./linkLimits.js";
import type { MessageCodec } from "./messageCodec.js";
import { notRunError } from "./notRunError.js";
import type { OutgoingCall } from "./outgoingCall.js";
import { OutgoingCalls } from "./outgoingCalls.js";
import { ReliableStream } from "./reliableStream.js";
import type { SessionMessage } from "./sessionMessage.js";
import { toErrorRecord } from "./toErrorRecord.js";
import type { UnnumberedMessage } from "./unnumberedMessage.js";

interface LinkSessionOptions {
    clock: Clock;
    codec: MessageCodec;
    limits: LinkLimits;
    registry: CallRegistry;
    /** Called when there may be messages to write. */
    onPendingMessages: () => void;
}

/**
 * The calls of one link in both directions. A session outlives the connections that carry it. Once the peer no longer
 * has the session, requests that were written are never written again, so that no request is handled twice.
 */
export class LinkSession {
    private readonly opts: LinkSessionOptions;
    private readonly outgoing: OutgoingCalls;
    private readonly incoming: IncomingCalls;
    private stream: ReliableStream<UnnumberedMessage>;
    private peerMaxMessageBytes: number;
    private peerIdentity: PeerIdentity | undefined;

    constructor(opts: LinkSessionOptions) {
        const { clock, limits, registry } = opts;
        const send = (message: UnnumberedMessage) => this.send(message);
        this.opts = opts;
        this.peerMaxMessageBytes = limits.maxMessageBytes;
        this.stream = this.createStream();
        this.outgoing = new OutgoingCalls({ clock, limits, send, withdraw: callId => this.withdraw(callId) });
        this.incoming = new IncomingCalls({
            clock,
            registry,
            maxCalls: limits.maxCalls,
            send,
            isCongested: () => this.stream.isCongested,
            onEnded: opts.onPendingMessages,
        });
    }

    get peer(): PeerIdentity | undefined {
        return this.peerIdentity;
    }

    /** Number of the last message that has been received. */
    get received(): number {
        return this.stream.received;
    }

    /** Whether messages have been sent or received, so that the session can continue only if the peer still has it. */
    get hasTraffic(): boolean {
        return this.stream.hasTraffic;
    }

    /** Number of calls in progress, in both directions. */
    get callCount(): number {
        return this.outgoing.size + this.incoming.size;
    }

    get hasUnwrittenCalls(): boolean {
        return this.outgoing.hasUnwritten;
    }

    /** Continues on a new connection. The peer has the messages of this session up to number `peerReceived`. */
    attach(peer: PeerIdentity, peerReceived: number, peerMaxMessageBytes: number): void {
        this.peerIdentity = peer;
        this.peerMaxMessageBytes = peerMaxMessageBytes;
        this.stream.attach(peerReceived);
    }

    acknowledge(peerReceived: number): void {
        this.stream.acknowledge(peerReceived);
        this.incoming.onCapacityAvailable();
    }

    /** Returns the next bytes to write on the current connection; undefined where there are none. */
    next(): Uint8Array | undefined {
        return this.stream.next();
    }

    /** Resumes waiting handlers whose next frame may be sent now. */
    onCapacityAvailable(): void {
        this.incoming.onCapacityAvailable();
    }

    /** Starts a call. Its request is queued until a connection is open. */
    call(name: string, payload: unknown, callOptions: CallOptions): OutgoingCall<unknown> {
        return this.outgoing.start(name, payload, callOptions);
    }

    /** Handles a message of the session. Drops duplicates. */
    receive({ message, sizeBytes }: DecodedMessage): void {
        const sessionMessage = message as SessionMessage;
        if (this.stream.receive(sessionMessage.number) === "deliver") {
            this.deliver(sessionMessage, sizeBytes);
        }
    }

    /** Ends calls that still wait for an open link, with outcome `not-run`. */
    failUnwritten(code: string, message: string): void {
        this.outgoing.failUnwritten(code, message);
    }

    /** Starts a new session. Calls whose requests were written fail; requests that were not written stay queued. */
    restart(reason: KnapweedError): void {
        this.incoming.abortAll(reason);
        this.outgoing.failWritten(reason);
        const requests = this.stream.withdrawAll().filter(message => message.type === "request");
        this.stream = this.createStream();
        requests.forEach(request => this.stream.enqueue(request));
    }

    /** Ends the session permanently. */
    end(reason: KnapweedError): void {
        this.outgoing.failUnwritten(reason.code, reason.message);
        this.outgoing.failWritten(reason);
        this.incoming.abortAll(reason);
    }

    private deliver(message: SessionMessage, sizeBytes: number): void {
        switch (message.type) {
            case "request":
                return this.incoming.onRequest(message, this.peerIdentity!);
            case "cancel":
                return this.incoming.onCancel(message);
            case "credit":
                return this.incoming.onCredit(message);
            case "frame":
                return this.outgoing.onFrame(message, sizeBytes);
            case "end":
                return this.outgoing.onEnd(message);
            case "failure":
                return this.outgoing.onFailure(message);
        }
    }

    private send(message: UnnumberedMessage): void {
        this.stream.enqueue(message);
        this.opts.onPendingMessages();
    }

    private withdraw(callId: number): void {
        this.stream.withdraw(message => message.type === "request" && message.callId === callId);
    }

    private createStream(): ReliableStream<UnnumberedMessage> {
        return new ReliableStream({
            encode: (message, number) => this.encode(message, number),
            maxUnacknowledgedBytes: this.opts.limits.maxUnacknowledgedBytes,
        });
    }

    /**
     * Encodes a message that is written for the first time. A request that can't be sent ends its call with outcome
     * `not-run`. Any other message that can't be sent is replaced by a failure of its call.
     */
    private encode(message: UnnumberedMessage, number: number): Uint8Array | undefined {
        try {
            return this.encodeWithinLimit(message, number);
        }
        catch (thrown) {
            const error = toKnapweedError(thrown, "LINK_UNSENDABLE");
            const { callId } = message;
            if (message.type === "request") {
                this.outgoing.rejectUnwritten(callId, notRunError(error.code, error.message));
                return undefined;
            }
            this.incoming.abort(callId, error);
            return this.opts.codec.encode({ type: "failure", number, callId, error: toErrorRecord(error) });
        }
    }

    /** Throws ERR_KNAPWEED_LINK_MESSAGE_TOO_LARGE where the message exceeds the peer's limit. */
    private encodeWithinLimit(message: UnnumberedMessage, number: number): Uint8Array {
        const bytes = this.opts.codec.encode(
            message.type === "request"
                ? { ...message, number, timeoutMs: this.outgoing.timeLeftMs(message.callId) }
                : { ...message, number } as SessionMessage,
        );
        if (bytes.length > this.peerMaxMessageBytes) {
            const text =
                `A message of ${bytes.length} bytes exceeds the peer's limit of ${this.peerMaxMessageBytes} bytes`;
            throw new KnapweedError("LINK_MESSAGE_TOO_LARGE", text, { outcome: "unknown" });
        }
        if (message.type === "request") {
            this.outgoing.onWritten(message.callId);
        }
        if (message.type === "frame") {
            this.incoming.onFrameWritten(message.callId, bytes.length);
        }
        return bytes;
    }
}
