import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";

interface BufferedFrame<Frame> {
    payload: Frame;
    sizeBytes: number;
}

interface Waiter<Frame> {
    resolve: (result: IteratorResult<Frame>) => void;
    reject: (error: KnapweedError) => void;
}

interface OutgoingCallOptions {
    callId: number;
    /** Bytes of frames that may be in transit or unread at this end. */
    windowBytes: number;
    /** Allows the peer to send `creditBytes` bytes of frames in total since the start of the call. */
    grantCredit: (creditBytes: number) => void;
    /** Called once when the reader stops before the call has ended. */
    onAbandoned: () => void;
}

/** Iterator over the frames of a call: in order, each exactly once, complete or followed by an error. */
export class OutgoingCall<Frame> implements AsyncIterableIterator<Frame> {
    readonly callId: number;
    private readonly opts: OutgoingCallOptions;
    private readonly buffered: BufferedFrame<Frame>[] = [];
    private waiter: Waiter<Frame> | undefined;
    private frameCount = 0;
    private readBytes = 0;
    private grantedBytes: number;
    private ended = false;
    private error: KnapweedError | undefined;

    constructor(opts: OutgoingCallOptions) {
        this.opts = opts;
        this.callId = opts.callId;
        this.grantedBytes = opts.windowBytes;
    }

    get isEnded(): boolean {
        return this.ended;
    }

    /** Adds a frame that has arrived. Fails the call where an earlier frame is missing. */
    acceptFrame(frameIndex: number, payload: Frame, sizeBytes: number): void {
        if (this.ended) {
            return;
        }
        if (frameIndex !== this.frameCount) {
            this.fail(
                new KnapweedError("LINK_FRAME_MISSING", `Frame ${this.frameCount} is missing`, { outcome: "unknown" }),
            );
            return;
        }
        this.frameCount += 1;
        this.buffered.push({ payload, sizeBytes });
        this.resolveWaiter();
    }

    /** Ends the call. Fails it where fewer or more than `frameCount` frames have arrived. */
    acceptEnd(frameCount: number): void {
        if (this.ended) {
            return;
        }
        if (frameCount !== this.frameCount) {
            const message = `${this.frameCount} of ${frameCount} frames have arrived`;
            this.fail(new KnapweedError("LINK_FRAME_MISSING", message, { outcome: "unknown" }));
            return;
        }
        this.ended = true;
        this.resolveWaiter();
    }

    /** Ends the call with an error, which the reader receives after the frames that have arrived. */
    fail(error: KnapweedError): void {
        if (this.ended) {
            return;
        }
        this.ended = true;
        this.error = error;
        this.resolveWaiter();
    }

    next(): Promise<IteratorResult<Frame>> {
        return new Promise((resolve, reject) => {
            this.waiter = { resolve, reject };
            this.resolveWaiter();
        });
    }

    return(): Promise<IteratorResult<Frame>> {
        this.buffered.length = 0;
        this.error = undefined;
        if (!this.ended) {
            this.ended = true;
            this.opts.onAbandoned();
        }
        this.resolveWaiter();
        return Promise.resolve({ done: true, value: undefined });
    }

    [Symbol.asyncIterator](): AsyncIterableIterator<Frame> {
        return this;
    }

    private resolveWaiter(): void {
        if (this.waiter === undefined || (this.buffered.length === 0 && !this.ended)) {
            return;
        }
        const { resolve, reject } = this.waiter;
        this.waiter = undefined;
        const frame = this.buffered.shift();
        if (frame !== undefined) {
            this.countRead(frame.sizeBytes);
            resolve({ done: false, value: frame.payload });
            return;
        }
        if (this.error !== undefined) {
            const error = this.error;
            this.error = undefined;
            reject(error);
            return;
        }
        resolve({ done: true, value: undefined });
    }

    private countRead(sizeBytes: number): void {
        this.readBytes += sizeBytes;
        const wantedBytes = this.readBytes + this.opts.windowBytes;
        if (!this.ended && wantedBytes - this.grantedBytes >= this.opts.windowBytes / 2) {
            this.grantedBytes = wantedBytes;
            this.opts.grantCredit(wantedBytes);
        }
    }
}
