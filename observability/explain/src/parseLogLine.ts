import type { LogLine } from "./logLine.js";

/** Reads a log line; what stands before the JSON is skipped. @returns undefined where the text is no such line */
export function parseLogLine(text: string): LogLine | undefined {
    const start = text.indexOf("{");
    if (start < 0) {
        return undefined;
    }
    try {
        const { time, level, event, instance, program: _program, ...fields } = JSON.parse(text.slice(start)) as {
            [field: string]: unknown;
        };
        const timeMs = Date.parse(String(time));
        return Number.isNaN(timeMs)
            ? undefined
            : { timeMs, level: String(level), event: String(event), instance: String(instance), fields };
    }
    catch {
        // A line that was cut, or is not ours, tells nothing.
        return undefined;
    }
}
