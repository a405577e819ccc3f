import { ROOT_CONTEXT, type Span, SpanStatusCode, trace, TraceFlags } from "@opentelemetry/api";
import { OTLPTraceExporter } from "@opentelemetry/exporter-trace-otlp-http";
import { resourceFromAttributes } from "@opentelemetry/resources";
import {
    BasicTracerProvider,
    BatchSpanProcessor,
    ParentBasedSampler,
    type SpanExporter,
    TraceIdRatioBasedSampler,
} from "@opentelemetry/sdk-trace-base";
import { FileSpanExporter } from "./fileSpanExporter.js";
import type { Tracer } from "./tracer.js";
import type { TraceSpan } from "./traceSpan.js";

const TRACE_PARENT_PATTERN = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/u;

/** Records spans with OpenTelemetry and exports them to an OTLP collector, a file, or both. */
export class OpenTelemetryTracer implements Tracer {
    private readonly provider: BasicTracerProvider;

    constructor(opts: { instanceId: string; otlpUrl?: string; file?: string; sampleRatio?: number; }) {
        this.provider = new BasicTracerProvider({
            resource: resourceFromAttributes({
                "service.name": "knapweedwood",
                "service.instance.id": opts.instanceId,
            }),
            sampler: new ParentBasedSampler({ root: new TraceIdRatioBasedSampler(opts.sampleRatio ?? 1) }),
            spanProcessors: exportersOf(opts).map(exporter => new BatchSpanProcessor(exporter)),
        });
    }

    startSpan(
        name: string,
        opts: { parent?: string; attributes?: { [name: string]: string | number | boolean; }; } = {},
    ): TraceSpan {
        const span = this.provider
            .getTracer("knapweedwood")
            .startSpan(name, { attributes: opts.attributes ?? {} }, parentContext(opts.parent));
        return {
            traceParent: formatTraceParent(span),
            setAttribute: (attribute, value) => {
                span.setAttribute(attribute, value);
            },
            end: error => endSpan(span, error),
        };
    }

    async close(): Promise<void> {
        await this.provider.shutdown();
    }
}

function exportersOf(opts: { otlpUrl?: string; file?: string; }): SpanExporter[] {
    return [
        ...(opts.otlpUrl === undefined ? [] : [new OTLPTraceExporter({ url: opts.otlpUrl })]),
        ...(opts.file === undefined ? [] : [new FileSpanExporter({ file: opts.file })]),
    ];
}

function parentContext(traceParent: string | undefined) {
    const match = TRACE_PARENT_PATTERN.exec(traceParent ?? "");
    if (match === null) {
        return ROOT_CONTEXT;
    }
    const [, traceId = "", spanId = "", flags = "00"] = match;
    const traceFlags = Number.parseInt(flags, 16) & TraceFlags.SAMPLED;
    return trace.setSpanContext(ROOT_CONTEXT, { traceId, spanId, traceFlags, isRemote: true });
}

function formatTraceParent(span: Span): string {
    const { traceId, spanId, traceFlags } = span.spanContext();
    return `00-${traceId}-${spanId}-${traceFlags.toString(16).padStart(2, "0")}`;
}

function endSpan(span: Span, error: Error | undefined): void {
    if (error !== undefined) {
        span.recordException(error);
        span.setStatus({ code: SpanStatusCode.ERROR, message: error.message });
    }
    span.end();
}
