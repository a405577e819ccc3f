/** One hop of a request. */
export interface TraceSpan {
    /** W3C trace context for the next hop. */
    readonly traceParent: string;
    setAttribute(name: string, value: string | number | boolean): void;
    /** Ends the span and, if an error is given, marks it as failed. */
    end(error?: Error): void;
}
