import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";

const MAX_PENDING_MESSAGES = 256;

interface Unacknowledged {
    number: number;
    bytes: Uint8Array;
}

/** How to treat a numbered message that has arrived. */
type ReceiveResult = "deliver" | "duplicate";

interface ReliableStreamOptions<Message> {
    /** Encodes a message that is written for the first time. Returns undefined where the message is to be dropped. */
    encode: (message: Message, number: number) => Uint8Array | undefined;
    /** New messages wait while at least this many bytes are unacknowledged. */
    maxUnacknowledgedBytes: number;
}

/**
 * Delivers messages exactly once and in order over connections that may be lost at any point.
 *
 * Messages are numbered when first written and kept until they are acknowledged. On the next connection they are
 * written again from the first that the peer has not received. Holds no sockets and no timers.
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

    /** Number of the last message that has been delivered at this end. */
    get received(): number {
        return this.lastReceived;
    }

    /** Whether messages have been sent or received, so that the stream can continue only if the peer still has it. */
    get hasTraffic(): boolean {
        return this.lastNumber > 0 || this.lastReceived > 0;
    }

    /** Whether producers of messages should wait. */
    get isCongested(): boolean {
        return this.pending.length >= MAX_PENDING_MESSAGES || this.unacknowledgedBytes >= this.maxUnacknowledgedBytes;
    }

    enqueue(message: Message): void {
        this.pending.push(message);
    }

    /** Removes matching messages that have never been written. @returns whether there were any */
    withdraw(matches: (message: Message) => boolean): boolean {
        const countBefore = this.pending.length;
        this.pending = this.pending.filter(message => !matches(message));
        return this.pending.length < countBefore;
    }

    /** Removes and returns all messages that have never been written. */
    withdrawAll(): Message[] {
        const withdrawn = this.pending;
        this.pending = [];
        return withdrawn;
    }

    /** Starts a connection. The peer has the messages of this stream up to number `peerReceived`. */
    attach(peerReceived: number): void {
        this.acknowledge(peerReceived);
        this.nextToWrite = 0;
    }

    /** Returns the next encoded message to write on the current connection; undefined where there is none. */
    next(): Uint8Array | undefined {
        if (this.nextToWrite === this.unacknowledged.length && !this.encodeNextPending()) {
            return undefined;
        }
        const { bytes } = this.unacknowledged[this.nextToWrite];
        this.nextToWrite += 1;
        return bytes;
    }

    /**
     * Records the arrival of the message with the given number.
     *
     * @throws KnapweedError ERR_KNAPWEED_LINK_BAD_MESSAGE where a message before this one is missing
     */
    receive(number: number): ReceiveResult {
        if (number <= this.lastReceived) {
            return "duplicate";
        }
        if (number !== this.lastReceived + 1) {
            throw new KnapweedError("LINK_BAD_MESSAGE", "A session message is missing", { outcome: "unknown" });
        }
        this.lastReceived = number;
        return "deliver";
    }

    /**
     * Drops messages that the peer has received.
     *
     * @throws KnapweedError ERR_KNAPWEED_LINK_BAD_MESSAGE where such a message was never sent
     */
    acknowledge(peerReceived: number): void {
        if (peerReceived > this.lastNumber) {
            throw new KnapweedError("LINK_BAD_MESSAGE", "The peer acknowledged a message that was never sent", {
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
