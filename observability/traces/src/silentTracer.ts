import { randomUUID } from "node:crypto";
import type { Tracer } from "./tracer.js";

const SPAN_ID_LENGTH = 16;

/** Records no spans, but passes on the caller's trace context, so that ids in logs match between processes. */
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

/** Returns 32 hexadecimal digits of a UUID, whose bytes Node.js fetches in bulk, unlike those of `randomBytes`. */
function randomHex(): string {
    return randomUUID().replaceAll("-", "");
}
