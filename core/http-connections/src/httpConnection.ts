import type { Clock } from "@knapweedwood/core.clock/clock";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import type { Timer } from "@knapweedwood/core.clock/timer";
import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import { ConnectionBrokenError } from "./connectionBrokenError.js";

/** Maximum number of received bytes that are kept for a reader that has paused. */
const READ_BUFFER_BYTES = 65_536;
/** Maximum number of parts in which these bytes are kept. Each costs some hundred bytes besides its content. */
const MAX_UNREAD_PARTS = 64;
/** Time after an orderly end in which a reset tells that the peer has not read all that it was sent, in milliseconds. */
const END_CONFIRMATION_MS = 400;
/** Time after an orderly end in which the peer has to read what is left to be sent, in milliseconds. */
const MAX_UNSENT_MS = 1000;

/**
 * A TCP connection as undici needs it. It ends only if the peer has closed it in order, and once all data has been read;
 * after a reset or another failure it is destroyed with `ConnectionBrokenError`, also once all data has been read.
 *
 * A socket of Node.js reports a reset that arrives together with the last bytes as an end, and ends while its reader has
 * paused. Undici takes the one for the end of a response without a length; the other makes it fail an assertion.
 *
 * A peer that closes while a part of an upload is unread sends an end, and a reset when that part arrives or shortly after it.
 */
export class HttpConnection extends Duplex {
    /** Whether an orderly end counts only once the peer has read all that it was sent, as far as can be told. */
    mustConfirmEnd = false;
    private readonly socket: Socket;
    private readonly clock: Clock;
    /** Waits for the confirmation of an orderly end. */
    private endTimer: Timer | undefined;
    /** Why the connection fails once all data has been read; undefined while it is sound, or if it ends in order. */
    private brokenBy: ConnectionBrokenError | undefined;
    /** Whether the socket has ended or failed, so that nothing more will be received. */
    private isClosing = false;
    /** Whether the reader has been told of the end or the failure. */
    private hasEnded = false;
    /** Parts received since the reader last took all that was kept. */
    private unreadParts = 0;

    /** @param socket a connected socket that may be half open, from now on used by this connection only */
    constructor(socket: Socket, clock: Clock = new SystemClock()) {
        super({ allowHalfOpen: false, highWaterMark: READ_BUFFER_BYTES });
        this.socket = socket;
        this.clock = clock;
        socket.on("data", (chunk: Buffer) => {
            const hasRoom = this.push(chunk);
            this.unreadParts = this.readableLength === 0 ? 0 : this.unreadParts + 1;
            // The system joins what arrives while the socket is paused.
            if (!hasRoom || this.unreadParts >= MAX_UNREAD_PARTS) {
                socket.pause();
            }
        });
        socket.once("end", () => this.startClosing(undefined));
        socket.once("error", (error: NodeJS.ErrnoException) => this.startClosing(new ConnectionBrokenError(error)));
        socket.once("close", () => this.onSocketClosed());
        // Undici listens only after it has received the connection.
        this.on("error", () => undefined);
    }

    /** Number of bytes received, including those that are still to be read. */
    get bytesReceived(): number {
        return this.socket.bytesRead;
    }

    ref(): this {
        this.socket.ref();
        return this;
    }

    unref(): this {
        this.socket.unref();
        return this;
    }

    override read(sizeBytes?: number): unknown {
        const chunk: unknown = super.read(sizeBytes);
        if (chunk !== null && this.readableLength === 0) {
            this.unreadParts = 0;
            this.socket.resume();
        }
        // A read of size 0 is one of the stream itself. Undici reads until nothing is left, unless it has paused.
        if (chunk === null && sizeBytes === undefined && this.isClosing) {
            process.nextTick(() => this.finish());
        }
        return chunk;
    }

    override _read(): void {
        if (this.unreadParts < MAX_UNREAD_PARTS) {
            this.socket.resume();
        }
    }

    override _write(chunk: Buffer, encoding: BufferEncoding, callback: () => void): void {
        // A failure is reported by the socket's error event.
        this.socket.write(chunk, encoding, () => callback());
    }

    override _writev(chunks: { chunk: Buffer; encoding: BufferEncoding; }[], callback: () => void): void {
        const last = chunks.pop()!;
        this.socket.cork();
        chunks.forEach(({ chunk, encoding }) => this.socket.write(chunk, encoding));
        this._write(last.chunk, last.encoding, callback);
        this.socket.uncork();
    }

    override _final(callback: () => void): void {
        this.socket.end(() => callback());
    }

    override _destroy(error: Error | null, callback: (error: Error | null) => void): void {
        this.endTimer?.cancel();
        this.socket.destroy();
        callback(error);
    }

    private onSocketClosed(): void {
        if (!this.isClosing) {
            this.startClosing(new ConnectionBrokenError(new Error("closed")));
        }
    }

    /** Has the reader read what is left, after which the connection ends or, if a failure has come by then, fails. */
    private startClosing(brokenBy: ConnectionBrokenError | undefined): void {
        this.brokenBy ??= brokenBy;
        if (this.isClosing) {
            return;
        }
        this.isClosing = true;
        if (!this.emit("readable")) {
            this.finish();
        }
    }

    private finish(): void {
        if (this.readableLength > 0 || this.endTimer !== undefined) {
            return;
        }
        if (this.brokenBy === undefined && this.mustConfirmEnd) {
            this.confirmEnd(this.clock.nowMs() + MAX_UNSENT_MS);
            return;
        }
        this.endReading();
    }

    /** Waits whether the peer reads what is left to be sent, until `untilMs`, and resets the connection. */
    private confirmEnd(untilMs: number): void {
        this.endTimer = this.clock.setTimer(END_CONFIRMATION_MS, () => {
            const isUnsent = this.writableLength > 0;
            if (isUnsent && this.brokenBy === undefined && this.clock.nowMs() < untilMs) {
                this.confirmEnd(untilMs);
                return;
            }
            if (isUnsent) {
                this.brokenBy ??= brokenByPeer("write", "EPIPE");
            }
            this.endReading();
        });
    }

    private endReading(): void {
        if (this.hasEnded) {
            return;
        }
        this.hasEnded = true;
        // The peer's address is unknown once a reset has arrived.
        if (this.socket.remoteAddress === undefined) {
            this.brokenBy ??= brokenByPeer("read", "ECONNRESET");
        }
        if (this.brokenBy === undefined) {
            this.push(null);
        }
        else {
            this.destroy(this.brokenBy);
        }
    }
}

/** Returns the error of a connection that the peer broke without an error of the system. */
function brokenByPeer(syscall: string, code: string): ConnectionBrokenError {
    return new ConnectionBrokenError(Object.assign(new Error(`${syscall} ${code}`), { code, syscall }));
}
