import type { TimelineEntry } from "./timelineEntry.js";

const EVENT_WIDTH = 24;

/** Formats a timeline as text, one line per entry, shape [entries]. Context lines are marked with a dot. */
export function formatTimeline(entries: readonly TimelineEntry[]): string[] {
    const instanceWidth = Math.max(0, ...entries.map(entry => entry.line.instance.length));
    return entries.map(({ line, kind }) => {
        const time = new Date(line.timeMs).toISOString().slice("2026-01-01T".length, -1);
        const fields = Object.entries(line.fields).map(([name, value]) => `${name}=${textOf(value)}`).join(" ");
        const mark = kind === "belief" ? "·" : " ";
        return `${time} ${line.instance.padEnd(instanceWidth)} ${mark} ${line.event.padEnd(EVENT_WIDTH)} ${fields}`
            .trimEnd();
    });
}

function textOf(value: unknown): string {
    return typeof value === "string" && /^[^\s"]+$/u.test(value) ? value : JSON.stringify(value);
}
