import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { CallContext } from "@knapweedwood/links.calls/callContext";
import type { CallHandler } from "@knapweedwood/links.calls/callHandler";

interface IncomingCallOptions {
    creditBytes: number;
    sendFrame: (frameIndex: number, payload: unknown) => void;
    sendEnd: (frameCount: number) => void;
    sendFailure: (thrown: unknown) => void;
    /** Whether the link has too many unsent or unacknowledged messages, from all its calls together. */
    isCongested: () => boolean;
}

/** Runs the handler of one call and sends its frames no faster than the caller reads them. */
export class IncomingCall {
    private readonly opts: IncomingCallOptions;
    private readonly controller = new AbortController();
    private creditBytes: number;
    private sentBytes = 0;
    private frameCount = 0;
    private wake: (() => void) | undefined;

    constructor(opts: IncomingCallOptions) {
        this.opts = opts;
        this.creditBytes = opts.creditBytes;
    }

    get signal(): AbortSignal {
        return this.controller.signal;
    }

    raiseCredit(creditBytes: number): void {
        this.creditBytes = Math.max(this.creditBytes, creditBytes);
        this.onCapacityAvailable();
    }

    /** Counts bytes of frames as they are written to a connection. */
    countWritten(sizeBytes: number): void {
        this.sentBytes += sizeBytes;
    }

    /** Resumes the handler if the next frame may be sent. */
    onCapacityAvailable(): void {
        if (this.canSendFrame()) {
            this.wake?.();
        }
    }

    /** Signals the handler to stop. Nothing is sent afterwards. */
    abort(reason: KnapweedError): void {
        this.controller.abort(reason);
        this.wake?.();
    }

    /** Runs the handler to the end of the call. Never rejects. */
    async run(
        handler: CallHandler<unknown, unknown>,
        request: unknown,
        context: Omit<CallContext, "signal">,
    ): Promise<void> {
        try {
            for await (const frame of handler(request, { ...context, signal: this.signal })) {
                await this.waitForCapacity();
                if (this.signal.aborted) {
                    return;
                }
                this.opts.sendFrame(this.frameCount, frame);
                this.frameCount += 1;
            }
            this.unlessAborted(() => this.opts.sendEnd(this.frameCount));
        }
        catch (error) {
            this.unlessAborted(() => this.opts.sendFailure(error));
        }
    }

    private unlessAborted(action: () => void): void {
        if (!this.signal.aborted) {
            action();
        }
    }

    private canSendFrame(): boolean {
        return this.sentBytes < this.creditBytes && !this.opts.isCongested();
    }

    private async waitForCapacity(): Promise<void> {
        while (!this.canSendFrame() && !this.signal.aborted) {
            await new Promise<void>(resolve => {
                this.wake = resolve;
            });
            this.wake = undefined;
        }
    }
}
