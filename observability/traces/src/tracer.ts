import type { TraceSpan } from "./traceSpan.js";

/** Starts spans. */
export interface Tracer {
    /** @param opts.parent W3C trace context of the caller; a new trace begins where there is none */
    startSpan(
        name: string,
        opts?: { parent?: string; attributes?: { [name: string]: string | number | boolean; }; },
    ): TraceSpan;
    /** Sends what is still buffered. */
    close(): Promise<void>;
}
