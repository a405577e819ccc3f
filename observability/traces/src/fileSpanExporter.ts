import type { ReadableSpan, SpanExporter } from "@opentelemetry/sdk-trace-base";
import { appendFile } from "node:fs";

type ExportCallback = Parameters<SpanExporter["export"]>[1];

const NANOSECONDS_PER_MS = 1e6;
const MS_PER_SECOND = 1000;

/** Exports spans by appending one JSON line per span to a file. */
export class FileSpanExporter implements SpanExporter {
    private readonly file: string;

    constructor(opts: { file: string; }) {
        this.file = opts.file;
    }

    export(spans: ReadableSpan[], done: ExportCallback): void {
        const lines = spans.map(span => `${JSON.stringify(toRecord(span))}\n`).join("");
        appendFile(this.file, lines, error => done(error ? { code: 1, error } : { code: 0 }));
    }

    shutdown(): Promise<void> {
        return Promise.resolve();
    }
}

function toRecord(span: ReadableSpan): object {
    return {
        traceId: span.spanContext().traceId,
        spanId: span.spanContext().spanId,
        parentSpanId: span.parentSpanContext?.spanId,
        name: span.name,
        process: span.resource.attributes["service.instance.id"],
        startMs: toMs(span.startTime),
        durationMs: toMs(span.duration),
        failed: span.status.code === 2,
        attributes: span.attributes,
    };
}

function toMs([seconds, nanoseconds]: [number, number]): number {
    return seconds * MS_PER_SECOND + nanoseconds / NANOSECONDS_PER_MS;
}
