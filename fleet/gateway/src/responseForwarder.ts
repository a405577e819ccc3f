import type { Clock } from "@knapweedwood/core.clock/clock";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { ServiceTimes } from "@knapweedwood/fleet.load/serviceTimes";
import type { MemoryReservation } from "@knapweedwood/fleet.memory/memoryReservation";
import type { ServerResponse } from "node:http";
import type { Attempt } from "./attempt.js";
import type { CallRecorder } from "./callRecorder.js";
import type { ForwardOutcome } from "./forwardOutcome.js";
import { MAX_UNSENT_BYTES } from "./maxUnsentBytes.js";
import type { ResponseWriter } from "./responseWriter.js";
import type { StreamContinuity } from "./streamContinuity.js";

const HTTP_OK = 200;

interface ResponseForwarderOptions {
    clock: Clock;
    serviceTimes: ServiceTimes;
    writer: ResponseWriter;
    response: ServerResponse;
    memory: MemoryReservation;
    recorder: CallRecorder;
    continuity: StreamContinuity | undefined;
}

/** Forwards the data of upstreams' responses to the caller, samples its times and limits what is not sent yet. */
export class ResponseForwarder {
    private readonly opts: ResponseForwarderOptions;

    constructor(opts: ResponseForwarderOptions) {
        this.opts = opts;
    }

    /** Forwards data of the response of an attempt at an upstream of `service`. */
    onData(attempt: Attempt, service: ServiceName, chunk: Buffer): ForwardOutcome {
        const { writer, recorder, continuity, clock } = this.opts;
        const nowMs = clock.nowMs();
        if (!attempt.stallDetector.hasData) {
            this.onBegun(attempt, service, nowMs - attempt.startedAtMs);
        }
        recorder.onData(nowMs);
        if (writer.statusCode === HTTP_OK) {
            attempt.sampler.onData(chunk);
        }
        const { progress } = writer;
        const isCallerSlow = !writer.onData(chunk);
        attempt.stallDetector.onData(writer.progress !== progress);
        const hasRoom = this.countUnsent(attempt, isCallerSlow);
        if (writer.hasStarted && writer.statusCode === HTTP_OK) {
            continuity?.onEventsSent(attempt.upstream);
        }
        if (writer.hasForeignBytes) {
            return "foreign";
        }
        if (writer.isOverLimit()) {
            return "too-large";
        }
        return hasRoom ? "forwarded" : "no-memory";
    }

    private onBegun(attempt: Attempt, service: ServiceName, firstDataMs: number): void {
        this.opts.serviceTimes.recordFirstData(service, firstDataMs);
        if (this.opts.writer.statusCode === HTTP_OK) {
            attempt.promptRun.onBegun(firstDataMs);
        }
    }

    /**
     * Counts the bytes that are not sent yet, and pauses the upstream's response if there are too many.
     *
     * @returns false if the response is collected before it is sent, so that nothing can wait, and there is no room for it
     */
    private countUnsent(attempt: Attempt, isCallerSlow: boolean): boolean {
        const { writer, memory, response } = this.opts;
        const { unsentBytes } = writer;
        const hasRoom = memory.trySetResponseBytes(unsentBytes);
        if (isCallerSlow && (!hasRoom || unsentBytes > MAX_UNSENT_BYTES)) {
            attempt.sampler.onPaused();
            attempt.exchange.pause();
            response.once("drain", () => attempt.exchange.resume());
        }
        return hasRoom || writer.hasStarted;
    }
}
