/** One hop of a request. */
export interface TraceSpan {
    /** W3C trace context to hand to the next hop. */
    readonly traceParent: string;
    setAttribute(name: string, value: string | number | boolean): void;
    /** Ends the span; with an error it is marked as failed. */
    end(error?: Error): void;
}
