/** One span of a trace, such as a call from one process to another. */
export interface TraceSpan {
    /** W3C trace context of this span, to be sent with the calls made within it. */
    readonly traceParent: string;
    setAttribute(name: string, value: string | number | boolean): void;
    /** Ends the span and, if an error is given, marks it as failed. */
    end(error?: Error): void;
}
