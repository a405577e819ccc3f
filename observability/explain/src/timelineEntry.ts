import type { LogLine } from "./logLine.js";

/** One line of a timeline. */
export interface TimelineEntry {
    line: LogLine;
    /** "story": the line contains the id. "belief": context, the state of a process or an upstream at the time. */
    kind: "story" | "belief";
}
