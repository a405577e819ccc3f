import type { LogLine } from "./logLine.js";

/** A line of a timeline. */
export interface TimelineEntry {
    line: LogLine;
    /** Whether it tells of the request itself, or of what a process believed then. */
    kind: "story" | "belief";
}
