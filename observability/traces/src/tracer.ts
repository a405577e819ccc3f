import type { TraceSpan } from "./traceSpan.js";

/** Creates trace spans. */
export interface Tracer {
    /** @param opts.parent W3C trace context of the caller; without one, a new trace starts */
    startSpan(
        name: string,
        opts?: { parent?: string; attributes?: { [name: string]: string | number | boolean; }; },
    ): TraceSpan;
    /** Exports the buffered spans and shuts the tracer down. */
    close(): Promise<void>;
}
