import type { Clock } from "@knapweedwood/core.clock/clock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { CallOptions } from "@knapweedwood/links.calls/callOptions";
import { fromErrorRecord } from "./fromErrorRecord.js";
import type { LinkLimits } from "./linkLimits.js";
import type { MessageOf } from "./messageOf.js";
import { notRunError } from "./notRunError.js";
import { OutgoingCall } from "./outgoingCall.js";
import type { UnnumberedMessage } from "./unnumberedMessage.js";

interface OutgoingCallsOptions {
    clock: Clock;
    limits: LinkLimits;
    send: (message: UnnumberedMessage) => void;
    /** Removes the request of a call from the queue where it has never been written. */
    withdraw: (callId: number) => void;
}

interface PendingCall {
    call: OutgoingCall<unknown>;
    /** Whether the request has been written to an open connection, so that it may run. */
    written: boolean;
    dueMs: number | undefined;
    release: () => void;
}

/** The calls that this end has started over one link. */
export class OutgoingCalls {
    private readonly opts: OutgoingCallsOptions;
    private readonly pending = new Map<number, PendingCall>();
    private lastCallId = 0;

    constructor(opts: OutgoingCallsOptions) {
        this.opts = opts;
    }

    get size(): number {
        return this.pending.size;
    }

    get hasUnwritten(): boolean {
        return [...this.pending.values()].some(pending => !pending.written);
    }

    /** Starts a call. It fails with outcome `not-run` where it was cancelled before or the link has too many calls. */
    start(name: string, payload: unknown, callOptions: CallOptions): OutgoingCall<unknown> {
        this.lastCallId += 1;
        const callId = this.lastCallId;
        const { limits, send } = this.opts;
        const call = new OutgoingCall<unknown>({
            callId,
            windowBytes: limits.callWindowBytes,
            grantCredit: creditBytes => send({ type: "credit", callId, creditBytes }),
            onAbandoned: () => this.cancel(callId),
        });
        if (callOptions.signal?.aborted === true) {
            call.fail(notRunError("LINK_CANCELLED", "The caller cancelled the call"));
            return call;
        }
        if (this.pending.size >= limits.maxCalls) {
            call.fail(notRunError("LINK_TOO_MANY_CALLS", "The link has reached its limit of concurrent calls"));
            return call;
        }
        this.pending.set(callId, this.applyDeadline(call, callOptions));
        send({
            type: "request",
            callId,
            name,
            payload,
            creditBytes: limits.callWindowBytes,
            timeoutMs: callOptions.timeoutMs,
            traceParent: callOptions.traceParent,
        });
        return call;
    }

    /** Returns the time left for a call, in milliseconds; undefined where it has no deadline. */
    timeLeftMs(callId: number): number | undefined {
        const dueMs = this.pending.get(callId)?.dueMs;
        return dueMs === undefined ? undefined : dueMs - this.opts.clock.nowMs();
    }

    /** Records that the request of a call is being written. */
    onWritten(callId: number): void {
        const pending = this.pending.get(callId);
        if (pending !== undefined) {
            pending.written = true;
        }
    }

    onFrame(message: MessageOf<"frame">, sizeBytes: number): void {
        const call = this.pending.get(message.callId)?.call;
        call?.acceptFrame(message.frameIndex, message.payload, sizeBytes);
        if (call?.isEnded === true) {
            this.cancel(message.callId);
        }
    }

    onEnd(message: MessageOf<"end">): void {
        this.remove(message.callId)?.call.acceptEnd(message.frameCount);
    }

    onFailure(message: MessageOf<"failure">): void {
        this.remove(message.callId)?.call.fail(fromErrorRecord(message.error));
    }

    /** Ends one call whose request has never been written. */
    rejectUnwritten(callId: number, error: KnapweedError): void {
        this.remove(callId)?.call.fail(error);
    }

    /** Ends all calls whose requests have never been written, with outcome `not-run`. */
    failUnwritten(code: string, message: string): void {
        [...this.pending]
            .filter(([, pending]) => !pending.written)
            .forEach(([callId]) => {
                this.opts.withdraw(callId);
                this.rejectUnwritten(callId, notRunError(code, message));
            });
    }

    /** Ends all calls whose requests may have reached a handler, with outcome `unknown`. */
    failWritten(reason: KnapweedError): void {
        [...this.pending]
            .filter(([, pending]) => pending.written)
            .forEach(([callId]) => {
                const opts = { outcome: "unknown" as const, cause: reason };
                this.remove(callId)?.call.fail(new KnapweedError(reason.code, reason.message, opts));
            });
    }

    private cancel(callId: number): void {
        const pending = this.remove(callId);
        if (pending?.written === true) {
            this.opts.send({ type: "cancel", callId });
        }
        else if (pending !== undefined) {
            this.opts.withdraw(callId);
        }
    }

    private remove(callId: number): PendingCall | undefined {
        const pending = this.pending.get(callId);
        pending?.release();
        this.pending.delete(callId);
        return pending;
    }

    /** Ends a call at its deadline, or when its caller aborts it. */
    private applyDeadline(call: OutgoingCall<unknown>, callOptions: CallOptions): PendingCall {
        const { signal, timeoutMs } = callOptions;
        const endCall = (code: string, message: string) => {
            const outcome = pending.written ? "unknown" : "not-run";
            this.cancel(call.callId);
            call.fail(new KnapweedError(code, message, { outcome }));
        };
        const onAbort = () => endCall("LINK_CANCELLED", "The caller cancelled the call");
        const onTimeout = () => endCall("LINK_DEADLINE_EXCEEDED", "The call did not end before its deadline");
        const timer = timeoutMs === undefined ? undefined : this.opts.clock.setTimer(timeoutMs, onTimeout);
        signal?.addEventListener("abort", onAbort, { once: true });
        const pending: PendingCall = {
            call,
            written: false,
            dueMs: timeoutMs === undefined ? undefined : this.opts.clock.nowMs() + timeoutMs,
            release: () => {
                timer?.cancel();
                signal?.removeEventListener("abort", onAbort);
            },
        };
        return pending;
    }
}
