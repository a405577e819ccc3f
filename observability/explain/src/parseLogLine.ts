import type { LogLine } from "./logLine.js";

/** Parses a log line and skips text before the JSON. @returns undefined if the text is not a log line */
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
        // The line was cut off or comes from another program.
        return undefined;
    }
}
