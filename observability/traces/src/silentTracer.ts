import { randomUUID } from "node:crypto";
import type { Tracer } from "./tracer.js";

const SPAN_ID_LENGTH = 16;

/** Records nothing; keeps the trace context of the caller, so that ids in logs agree between processes. */
export const silentTracer: Tracer = {
    startSpan: (_name, opts) => ({
        traceParent: opts?.parent ?? newTraceParent(),
        setAttribute: () => undefined,
        end: () => undefined,
    }),
    close: () => Promise.resolve(),
};

function newTraceParent(): string {
    const spanId = randomHex().slice(0, SPAN_ID_LENGTH);
    return `00-${randomHex()}-${spanId}-00`;
}

/** 32 hexadecimal digits. A UUID is drawn from bytes that Node.js fetches in bulk, which random bytes are not. */
function randomHex(): string {
    return randomUUID().replaceAll("-", "");
}
