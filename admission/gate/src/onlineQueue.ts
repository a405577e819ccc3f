import type { Clock } from "@knapweedwood/core.clock/clock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { ActiveStream } from "./activeStream.js";
import type { WorkSize } from "./gateState.js";
import type { QueuedOnlineCall } from "./queuedOnlineCall.js";

const MIN_RETRY_AFTER_MS = 100;
const DURATION_SMOOTHING = 0.1;
const INITIAL_DURATION_MS = 1000;

/**
 * Bounded first-in, first-out queue of online calls that wait for free slots in the engine. Rejects calls whose
 * deadlines can't be met.
 */
export class OnlineQueue {
    private readonly clock: Clock;
    private readonly maxWaiting: number;
    private calls: QueuedOnlineCall[] = [];
    private meanDurationMs = INITIAL_DURATION_MS;

    constructor(opts: { clock: Clock; maxWaiting: number; }) {
        this.clock = opts.clock;
        this.maxWaiting = opts.maxWaiting;
    }

    /** The waiting calls, oldest first. */
    get waiting(): readonly QueuedOnlineCall[] {
        return this.calls;
    }

    /**
     * Queues a call. Resolves with its stream when it is admitted. Rejects with outcome `not-run`: `GATE_OVERLOADED`
     * when the queue is full, `GATE_DEADLINE` when the deadline can't be met, `CANCELLED` when the call is cancelled.
     */
    enqueue(opts: {
        size: WorkSize;
        signal: AbortSignal;
        deadlineMs: number | undefined;
        running: number;
    }): Promise<ActiveStream> {
        const nowMs = this.clock.nowMs();
        const waitMs = this.expectedWaitMs(opts.running);
        if (this.calls.length >= this.maxWaiting) {
            return Promise.reject(
                rejectionError("GATE_OVERLOADED", "The upstream and its request queue are full", waitMs),
            );
        }
        if (opts.deadlineMs !== undefined && nowMs + waitMs >= opts.deadlineMs) {
            return Promise.reject(
                rejectionError("GATE_DEADLINE", "The call can't be admitted before its deadline", waitMs),
            );
        }
        return new Promise((admit, reject) => {
            const { size, deadlineMs } = opts;
            this.addWaiting({ size, arrivedAtMs: nowMs, deadlineMs, admit, reject }, opts.signal);
        });
    }

    /** Admits the oldest `count` calls, each with a stream created by `open`. */
    admit(count: number, open: (size: WorkSize) => ActiveStream): void {
        const admitted = this.calls.slice(0, count);
        this.calls = this.calls.slice(count);
        admitted.forEach(call => call.admit(open(call.size)));
    }

    /** Records how long a call was in the engine, in milliseconds. */
    recordDuration(durationMs: number): void {
        this.meanDurationMs += DURATION_SMOOTHING * (durationMs - this.meanDurationMs);
    }

    private addWaiting(call: QueuedOnlineCall, signal: AbortSignal): void {
        const removeAndReject = (error: KnapweedError) => {
            this.calls = this.calls.filter(other => other !== call);
            call.reject(error);
        };
        const onAbort = () =>
            removeAndReject(
                new KnapweedError("CANCELLED", "The call was cancelled before it was admitted", { outcome: "not-run" }),
            );
        const timer = call.deadlineMs === undefined
            ? undefined
            : this.clock.setTimer(
                call.deadlineMs - call.arrivedAtMs,
                () =>
                    removeAndReject(
                        rejectionError(
                            "GATE_DEADLINE",
                            "The deadline passed before the call was admitted",
                            this.expectedWaitMs(1),
                        ),
                    ),
            );
        signal.addEventListener("abort", onAbort, { once: true });
        const cleanUp = () => {
            timer?.cancel();
            signal.removeEventListener("abort", onAbort);
        };
        const { admit, reject } = call;
        call.admit = stream => {
            cleanUp();
            admit(stream);
        };
        call.reject = thrown => {
            cleanUp();
            reject(thrown);
        };
        this.calls.push(call);
        if (signal.aborted) {
            onAbort();
        }
    }

    /** Expected wait of a call that is queued now, based on how fast running calls end, in milliseconds. */
    private expectedWaitMs(running: number): number {
        return this.calls.length * this.meanDurationMs / Math.max(1, running);
    }
}

function rejectionError(code: string, message: string, waitMs: number): KnapweedError {
    return new KnapweedError(code, message, {
        outcome: "not-run",
        statusCode: 503,
        retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs)),
    });
}
