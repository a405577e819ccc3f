import type { Clock } from "@knapweedwood/core.clock/clock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { RawData, WebSocket } from "ws";
import type { DecodedMessage } from "./decodedMessage.js";
import type { LinkMessage } from "./linkMessage.js";
import type { MessageCodec } from "./messageCodec.js";

interface LinkConnectionOptions {
    socket: WebSocket;
    clock: Clock;
    codec: MessageCodec;
    onMessage: (decoded: DecodedMessage) => void;
    /** Called once, when the connection has ended for any reason. */
    onClosed: (reason: KnapweedError) => void;
    /** Called when the connection can accept more data. */
    onDrained: () => void;
}

const HIGH_WATER_BYTES = 1 << 20;
const BATCH_BYTES = 64 << 10;
const CLOSE_TIMEOUT_MS = 300;
const BAD_MESSAGE_STATUS = 1007;

/** One WebSocket connection. Combines messages that are sent in one turn of the event loop into few writes. */
export class LinkConnection {
    private readonly opts: LinkConnectionOptions;
    private batch: Uint8Array[] = [];
    private batchBytes = 0;
    private flushHandle: NodeJS.Immediate | undefined;
    private ended = false;
    private sentByteCount = 0;
    private receivedByteCount = 0;

    constructor(opts: LinkConnectionOptions) {
        this.opts = opts;
        opts.socket.binaryType = "nodebuffer";
        opts.socket.on("message", data => this.receive(data));
        opts.socket.on("error", error => this.end(toKnapweedError(error, "LINK_CONNECTION_FAILED")));
        opts.socket.on(
            "close",
            () => this.end(new KnapweedError("LINK_CONNECTION_CLOSED", "The connection was closed")),
        );
    }

    /** Whether writers should wait. */
    get isFull(): boolean {
        return this.batchBytes + this.opts.socket.bufferedAmount >= HIGH_WATER_BYTES;
    }

    /** Payload bytes sent so far. */
    get sentBytes(): number {
        return this.sentByteCount;
    }

    /** Payload bytes received so far. */
    get receivedBytes(): number {
        return this.receivedByteCount;
    }

    sendMessage(message: LinkMessage): void {
        this.send(this.opts.codec.encode(message));
    }

    send(bytes: Uint8Array): void {
        if (this.ended) {
            return;
        }
        if (this.batchBytes + bytes.length > BATCH_BYTES) {
            this.flush();
        }
        this.batch.push(bytes);
        this.batchBytes += bytes.length;
        this.flushHandle ??= setImmediate(() => this.flush());
    }

    /** Sends buffered messages and closes the connection. Terminates it where the peer doesn't respond in time. */
    close(): void {
        this.flush();
        this.opts.socket.close();
        const timer = this.opts.clock.setTimer(CLOSE_TIMEOUT_MS, () => this.opts.socket.terminate());
        this.opts.socket.on("close", () => timer.cancel());
    }

    /** Terminates the connection without waiting for the peer. No messages and no close are reported afterwards. */
    terminate(): void {
        this.ended = true;
        clearImmediate(this.flushHandle);
        this.opts.socket.terminate();
    }

    private flush(): void {
        clearImmediate(this.flushHandle);
        this.flushHandle = undefined;
        if (this.batch.length === 0 || this.opts.socket.readyState !== this.opts.socket.OPEN) {
            return;
        }
        const bytes = this.batch.length === 1 ? this.batch[0] : Buffer.concat(this.batch);
        this.batch = [];
        this.batchBytes = 0;
        this.sentByteCount += bytes.length;
        this.opts.socket.send(bytes, { binary: true }, () => this.opts.onDrained());
    }

    private receive(data: RawData): void {
        if (this.ended) {
            return;
        }
        const bytes = data as Buffer;
        this.receivedByteCount += bytes.length;
        try {
            this.opts.codec.decode(bytes).forEach(decoded => {
                if (!this.ended) {
                    this.opts.onMessage(decoded);
                }
            });
        }
        catch (error) {
            this.opts.socket.close(BAD_MESSAGE_STATUS);
            this.end(toKnapweedError(error));
        }
    }

    private end(reason: KnapweedError): void {
        if (this.ended) {
            return;
        }
        this.ended = true;
        clearImmediate(this.flushHandle);
        this.opts.onClosed(reason);
    }
}
