import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";

const MAX_PENDING_MESSAGES = 256;

interface Unacknowledged {
    number: number;
    bytes: Uint8Array;
}

/** What to do with a numbered message that arrived. */
type ReceiveResult = "deliver" | "duplicate";

interface ReliableStreamOptions<Message> {
    /** Packs a message when it is written for the first time; undefined where it is not to be written after all. */
    encode: (message: Message, number: number) => Uint8Array | undefined;
    /** New messages wait while more than this many bytes are unacknowledged. */
    maxUnacknowledgedBytes: number;
}

/**
 * Delivers messages once and in order over connections that may be cut anywhere.
 *
 * Messages are numbered when first written, kept until acknowledged, and written again on the next connection from
 * the first that the other end lacks. Holds no sockets and no timers.
 */
export class ReliableStream<Message> {
    private readonly encode: (message: Message, number: number) => Uint8Array | undefined;
    private readonly maxUnacknowledgedBytes: number;
    private pending: Message[] = [];
    private unacknowledged: Unacknowledged[] = [];
    private unacknowledgedBytes = 0;
    private nextToWrite = 0;
    private lastNumber = 0;
    private lastReceived = 0;

    constructor(opts: ReliableStreamOptions<Message>) {
        this.encode = opts.encode;
        this.maxUnacknowledgedBytes = opts.maxUnacknowledgedBytes;
    }

    /** Number of the last message that has been delivered here. */
    get received(): number {
        return this.lastReceived;
    }

    /** Whether the stream has been used, so that the other end must know it too. */
    get hasTraffic(): boolean {
        return this.lastNumber > 0 || this.lastReceived > 0;
    }

    /** Whether whoever produces messages should wait. */
    get isCongested(): boolean {
        return this.pending.length >= MAX_PENDING_MESSAGES || this.unacknowledgedBytes >= this.maxUnacknowledgedBytes;
    }

    enqueue(message: Message): void {
        this.pending.push(message);
    }

    /** Takes back messages that have never been written. @returns whether there were any */
    withdraw(matches: (message: Message) => boolean): boolean {
        const countBefore = this.pending.length;
        this.pending = this.pending.filter(message => !matches(message));
        return this.pending.length < countBefore;
    }

    /** Takes back everything that has never been written. */
    withdrawAll(): Message[] {
        const withdrawn = this.pending;
        this.pending = [];
        return withdrawn;
    }

    /** Begins a connection whose other end has `peerReceived` messages of this stream. */
    attach(peerReceived: number): void {
        this.acknowledge(peerReceived);
        this.nextToWrite = 0;
    }

    /** The next message to write on the present connection, or undefined where none is due. */
    next(): Uint8Array | undefined {
        if (this.nextToWrite === this.unacknowledged.length && !this.encodeNextPending()) {
            return undefined;
        }
        const { bytes } = this.unacknowledged[this.nextToWrite];
        this.nextToWrite += 1;
        return bytes;
    }

    /** @throws KnapweedError ERR_KNAPWEED_LINK_BAD_MESSAGE where a message is missing before this one */
    receive(number: number): ReceiveResult {
        if (number <= this.lastReceived) {
            return "duplicate";
        }
        if (number !== this.lastReceived + 1) {
            throw new KnapweedError("LINK_BAD_MESSAGE", "A message is missing", { outcome: "unknown" });
        }
        this.lastReceived = number;
        return "deliver";
    }

    /** Forgets messages that the other end has received. */
    acknowledge(peerReceived: number): void {
        if (peerReceived > this.lastNumber) {
            throw new KnapweedError("LINK_BAD_MESSAGE", "A message was acknowledged that was never sent", {
                outcome: "unknown",
            });
        }
        const firstKept = this.unacknowledged.findIndex(entry => entry.number > peerReceived);
        const count = firstKept === -1 ? this.unacknowledged.length : firstKept;
        const acknowledged = this.unacknowledged.splice(0, count);
        this.nextToWrite = Math.max(0, this.nextToWrite - count);
        this.unacknowledgedBytes -= acknowledged.reduce((sum, entry) => sum + entry.bytes.length, 0);
    }

    private encodeNextPending(): boolean {
        if (this.pending.length === 0 || this.unacknowledgedBytes >= this.maxUnacknowledgedBytes) {
            return false;
        }
        const message = this.pending.shift()!;
        const bytes = this.encode(message, this.lastNumber + 1);
        if (bytes === undefined) {
            return this.encodeNextPending();
        }
        this.lastNumber += 1;
        this.unacknowledged.push({ number: this.lastNumber, bytes });
        this.unacknowledgedBytes += bytes.length;
        return true;
    }
}
