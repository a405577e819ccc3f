import type { LogLine } from "./logLine.js";
import type { TimelineEntry } from "./timelineEntry.js";

/** Fields that hold ids of requests, jobs and items. */
const ID_FIELDS = ["requestId", "jobId", "itemId"];
/** Events that tell what a process is or knows; the newest of each kind before the story counts too. */
const STATE_EVENTS: { [event: string]: string; } = {
    "started": "life",
    "stopping": "life",
    "stopped": "life",
    "configuration-in-force": "configuration",
    "settings-reloaded": "settings",
    "key-value-lost": "key-value",
    "key-value-regained": "key-value",
    "lease-granted": "lease",
    "lease-lapsed": "lease",
    "leadership-gained": "leadership",
    "leadership-lost": "leadership",
    "jobs-loaded": "leadership",
};
/** Time around the story in which what is told of its upstreams matters, in milliseconds. */
const AROUND_MS = 5000;

/**
 * Gathers the story of one id from the lines of many processes, then what these processes believed meanwhile. Lines are
 * given twice, first all to `addStory`, then all to `addBelief`, so that logs need not fit into memory.
 */
export class Timeline {
    private readonly id: string;
    private readonly story: LogLine[] = [];
    private readonly beliefs: LogLine[] = [];
    private readonly newestBefore = new Map<string, LogLine>();

    constructor(id: string) {
        this.id = id;
    }

    addStory(line: LogLine): void {
        if (ID_FIELDS.some(field => line.fields[field] === this.id)) {
            this.story.push(line);
        }
    }

    addBelief(line: LogLine): void {
        if (this.story.includes(line) || this.story.length === 0 || this.isStory(line)) {
            return;
        }
        const state = STATE_EVENTS[line.event];
        if (state !== undefined && this.instances().has(line.instance)) {
            this.addState(line, state);
        }
        else if (
            this.upstreams().has(String(line.fields.upstream)) && this.isAround(line, AROUND_MS) && isVerdict(line)
        ) {
            this.beliefs.push(line);
        }
    }

    /** The whole timeline in order of time, shape [lines]. */
    entries(): TimelineEntry[] {
        const beliefs = [...this.newestBefore.values(), ...this.beliefs].map(line => ({
            line,
            kind: "belief" as const,
        }));
        const story = this.story.map(line => ({ line, kind: "story" as const }));
        return [...beliefs, ...story].sort((left, right) => left.line.timeMs - right.line.timeMs);
    }

    private isStory(line: LogLine): boolean {
        return ID_FIELDS.some(field => line.fields[field] === this.id);
    }

    private addState(line: LogLine, state: string): void {
        if (this.isAround(line, 0)) {
            this.beliefs.push(line);
            return;
        }
        const key = `${line.instance} ${state}`;
        const known = this.newestBefore.get(key);
        if (line.timeMs < this.startMs() && line.timeMs >= (known?.timeMs ?? 0)) {
            this.newestBefore.set(key, line);
        }
    }

    private isAround(line: LogLine, marginMs: number): boolean {
        const times = this.story.map(one => one.timeMs);
        return line.timeMs >= Math.min(...times) - marginMs && line.timeMs <= Math.max(...times) + marginMs;
    }

    private startMs(): number {
        return Math.min(...this.story.map(line => line.timeMs));
    }

    private instances(): Set<string> {
        return new Set(this.story.map(line => line.instance));
    }

    private upstreams(): Set<string> {
        return new Set(
            this.story.flatMap(line => line.fields.upstream === undefined ? [] : [String(line.fields.upstream)]),
        );
    }
}

/** Lines on an upstream that are not just another request there. */
function isVerdict(line: LogLine): boolean {
    return line.event === "upstream-changed" || line.fields.isEjected === true;
}
