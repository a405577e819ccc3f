import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { CallRegistry } from "../src/callRegistry.js";
import { defaultLinkLimits } from "../src/defaultLinkLimits.js";
import { LinkSession } from "../src/linkSession.js";
import { MessageCodec } from "../src/messageCodec.js";
import { testIdentity } from "./testIdentity.js";

interface SessionEnd {
    session: LinkSession;
    registry: CallRegistry;
    /** Messages written on the current connection that have not arrived at the peer. */
    inTransit: Uint8Array[];
    attached: boolean;
}

interface CallRecord {
    id: number;
    frameCount: number;
    read: number[];
    reading: Promise<void>;
    ended: boolean;
    error: KnapweedError | undefined;
}

interface FrameRequest {
    id: number;
    frameCount: number;
    frameBytes: number;
}

const WINDOW_BYTES = 400;
const REPLACED = new KnapweedError("LINK_PEER_REPLACED", "The peer no longer has the session");

/** Two sessions and the network between them, which only the test advances. */
export class SessionPair {
    readonly calls: CallRecord[] = [];
    readonly runCounts = new Map<number, number>();
    private readonly codec = new MessageCodec();
    private readonly ends: [SessionEnd, SessionEnd] = [this.createEnd(), this.createEnd()];
    private lastDelivered: [Uint8Array | undefined, Uint8Array | undefined] = [undefined, undefined];

    /** Starts a call from end `from` and a reader that reads all frames. */
    start(from: number, frameCount: number, frameBytes: number): void {
        const record: CallRecord = {
            id: this.calls.length,
            frameCount,
            read: [],
            reading: Promise.resolve(),
            ended: false,
            error: undefined,
        };
        const frames = this.ends[from].session.call("frames", { id: record.id, frameCount, frameBytes }, {});
        record.reading = this.read(record, frames as AsyncIterable<{ index: number; }>);
        this.calls.push(record);
    }

    /** Delivers up to `count` messages that end `from` has written. */
    async deliver(from: number, count: number): Promise<void> {
        const arrived = this.ends[from].inTransit.splice(0, count);
        arrived.forEach(bytes => {
            this.lastDelivered[from] = bytes;
            this.receive(1 - from, bytes);
        });
        await this.settle();
    }

    /** Delivers the last message of end `from` again. */
    async duplicate(from: number): Promise<void> {
        const bytes = this.lastDelivered[from];
        if (bytes !== undefined) {
            this.receive(1 - from, bytes);
        }
        await this.settle();
    }

    /** Cuts the connection. Messages in transit are lost. */
    cut(): void {
        this.lastDelivered = [undefined, undefined];
        this.ends.forEach(end => {
            end.attached = false;
            end.inTransit = [];
        });
    }

    /** Opens another connection from end 0. The response to its handshake may be lost. */
    async reconnect(isResponseLost: boolean): Promise<void> {
        this.cut();
        const [dialer, acceptor] = this.ends;
        const acceptorReceived = acceptor.session.received;
        acceptor.attached = true;
        acceptor.session.attach(testIdentity("dialer"), dialer.session.received, defaultLinkLimits.maxMessageBytes);
        this.writePending(acceptor);
        if (!isResponseLost) {
            dialer.attached = true;
            dialer.session.attach(testIdentity("acceptor"), acceptorReceived, defaultLinkLimits.maxMessageBytes);
            this.writePending(dialer);
        }
        await this.settle();
    }

    /** Replaces end 1 with a new process, which end 0 detects in the next handshake. */
    async replaceAcceptor(): Promise<void> {
        this.cut();
        this.ends[1].session.end(REPLACED);
        this.ends[1] = this.createEnd();
        if (this.ends[0].session.hasTraffic) {
            this.ends[0].session.restart(REPLACED);
        }
        await this.settle();
    }

    /** Acknowledges the messages that have arrived at end `at`, as its heartbeat does. */
    acknowledge(at: number): void {
        if (this.ends.every(end => end.attached)) {
            this.ends[1 - at].session.acknowledge(this.ends[at].session.received);
            this.writePending(this.ends[1 - at]);
        }
    }

    /** Reconnects and delivers messages until none is in transit. */
    async drain(): Promise<void> {
        await this.reconnect(false);
        while (this.ends.some(end => end.inTransit.length > 0)) {
            await this.deliver(0, 10);
            await this.deliver(1, 10);
            this.acknowledge(0);
            this.acknowledge(1);
        }
    }

    private createEnd(): SessionEnd {
        const registry = new CallRegistry();
        registry.handlers.set("frames", request => this.frames(request as FrameRequest));
        const session: LinkSession = new LinkSession({
            clock: new ManualClock(),
            codec: this.codec,
            limits: { ...defaultLinkLimits, callWindowBytes: WINDOW_BYTES, maxUnacknowledgedBytes: 2000 },
            registry,
            onPendingMessages: () => this.writePending(end),
        });
        const end: SessionEnd = { session, registry, inTransit: [], attached: false };
        return end;
    }

    private async *frames(request: FrameRequest): AsyncGenerator<{ index: number; padding: Uint8Array; }> {
        this.runCounts.set(request.id, (this.runCounts.get(request.id) ?? 0) + 1);
        for (let index = 0; index < request.frameCount; index += 1) {
            yield { index, padding: new Uint8Array(request.frameBytes) };
        }
    }

    private async read(record: CallRecord, frames: AsyncIterable<{ index: number; }>): Promise<void> {
        try {
            for await (const frame of frames) {
                record.read.push(frame.index);
            }
        }
        catch (error) {
            record.error = error as KnapweedError;
        }
        record.ended = true;
    }

    private receive(at: number, bytes: Uint8Array): void {
        this.codec.decode(bytes).forEach(decoded => this.ends[at].session.receive(decoded));
    }

    private writePending(end: SessionEnd): void {
        for (let bytes = this.nextBytes(end); bytes !== undefined; bytes = this.nextBytes(end)) {
            end.inTransit.push(bytes);
        }
    }

    private nextBytes(end: SessionEnd): Uint8Array | undefined {
        return end.attached ? end.session.next() : undefined;
    }

    private async settle(): Promise<void> {
        await new Promise(resolve => setImmediate(resolve));
    }
}
