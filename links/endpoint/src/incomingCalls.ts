import type { Clock } from "@knapweedwood/core.clock/clock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { PeerIdentity } from "@knapweedwood/links.calls/peerIdentity";
import type { CallRegistry } from "./callRegistry.js";
import { IncomingCall } from "./incomingCall.js";
import type { MessageOf } from "./messageOf.js";
import { notRunError } from "./notRunError.js";
import { toErrorRecord } from "./toErrorRecord.js";
import type { UnnumberedMessage } from "./unnumberedMessage.js";

interface IncomingCallsOptions {
    clock: Clock;
    registry: CallRegistry;
    maxCalls: number;
    send: (message: UnnumberedMessage) => void;
    isCongested: () => boolean;
    /** Called when a call has ended. */
    onEnded: () => void;
}

/** The calls that this end handles on one link. */
export class IncomingCalls {
    private readonly opts: IncomingCallsOptions;
    private readonly running = new Map<number, IncomingCall>();

    constructor(opts: IncomingCallsOptions) {
        this.opts = opts;
    }

    get size(): number {
        return this.running.size;
    }

    /** Runs the handler of a request, or rejects the request. */
    onRequest(message: MessageOf<"request">, peer: PeerIdentity): void {
        const { callId, timeoutMs, traceParent } = message;
        const rejection = this.rejectionOf(message);
        if (rejection !== undefined) {
            this.opts.send({ type: "failure", callId, error: toErrorRecord(rejection) });
            return;
        }
        const call = this.createCall(message);
        this.running.set(callId, call);
        const release = this.applyDeadline(call, timeoutMs);
        const deadlineMs = timeoutMs === undefined ? undefined : this.opts.clock.nowMs() + timeoutMs;
        const handler = this.opts.registry.handlers.get(message.name)!;
        void call.run(handler, message.payload, { peer, deadlineMs, traceParent }).finally(() => {
            release();
            this.remove(callId, call);
        });
    }

    onCancel(message: MessageOf<"cancel">): void {
        this.running.get(message.callId)?.abort(
            new KnapweedError("LINK_CANCELLED", "The caller cancelled the call"),
        );
    }

    onCredit(message: MessageOf<"credit">): void {
        this.running.get(message.callId)?.raiseCredit(message.creditBytes);
    }

    /** Counts the bytes of a frame that is written. */
    onFrameWritten(callId: number, sizeBytes: number): void {
        this.running.get(callId)?.countWritten(sizeBytes);
    }

    /** Resumes waiting handlers whose next frame may be sent now. */
    onCapacityAvailable(): void {
        this.running.forEach(call => call.onCapacityAvailable());
    }

    /** Signals one handler to stop. */
    abort(callId: number, reason: KnapweedError): void {
        this.running.get(callId)?.abort(reason);
    }

    /** Signals all handlers to stop. */
    abortAll(reason: KnapweedError): void {
        this.running.forEach(call => call.abort(reason));
    }

    private createCall({ callId, creditBytes }: MessageOf<"request">): IncomingCall {
        const { send, isCongested } = this.opts;
        return new IncomingCall({
            creditBytes,
            isCongested,
            sendFrame: (frameIndex, payload) => send({ type: "frame", callId, frameIndex, payload }),
            sendEnd: frameCount => send({ type: "end", callId, frameCount }),
            sendFailure: thrown => send({ type: "failure", callId, error: toErrorRecord(thrown) }),
        });
    }

    private remove(callId: number, call: IncomingCall): void {
        if (this.running.get(callId) === call) {
            this.running.delete(callId);
        }
        this.opts.onEnded();
    }

    private rejectionOf(message: MessageOf<"request">): KnapweedError | undefined {
        if (!this.opts.registry.handlers.has(message.name)) {
            return notRunError("LINK_UNKNOWN_CALL", `No handler is registered for call ${message.name}`);
        }
        if (this.opts.registry.isClosing) {
            return notRunError("LINK_CLOSING", "The process is shutting down");
        }
        if (this.running.size >= this.opts.maxCalls) {
            return notRunError("LINK_TOO_MANY_CALLS", "The link has reached its limit of concurrent calls");
        }
        if (message.timeoutMs !== undefined && message.timeoutMs <= 0) {
            return notRunError("LINK_DEADLINE_EXCEEDED", "The deadline of the call passed before it arrived");
        }
        return undefined;
    }

    private applyDeadline(call: IncomingCall, timeoutMs: number | undefined): () => void {
        if (timeoutMs === undefined) {
            return () => undefined;
        }
        const timer = this.opts.clock.setTimer(timeoutMs, () => {
            call.abort(new KnapweedError("LINK_DEADLINE_EXCEEDED", "The call exceeded its deadline"));
        });
        return () => timer.cancel();
    }
}
