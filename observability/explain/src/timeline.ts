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

/** What a story is about, for the choice of the beliefs that matter to it. */
interface StoryScope {
    startMs: number;
    endMs: number;
    instances: Set<string>;
    upstreams: Set<unknown>;
}

/**
 * Gathers the story of one id from the lines of many processes, then what these processes believed meanwhile. Lines are
 * given twice, first all to `addStory`, then all to `addBelief`, so that logs need not fit into memory.
 */
export class Timeline {
    private readonly id: string;
    private readonly story: LogLine[] = [];
    private readonly beliefs: LogLine[] = [];
    /** Taken once, when the whole story is known. */
    private scope: StoryScope | undefined;
    private readonly newestBefore = new Map<string, LogLine>();

    constructor(id: string) {
        this.id = id;
    }

    addStory(line: LogLine): void {
        if (this.isStory(line)) {
            this.story.push(line);
        }
    }

    addBelief(line: LogLine): void {
        if (this.story.length === 0 || this.isStory(line)) {
            return;
        }
        this.scope ??= scopeOf(this.story);
        const state = STATE_EVENTS[line.event];
        if (state !== undefined && this.scope.instances.has(line.instance)) {
            this.addState(line, state, this.scope);
        }
        else if (
            this.scope.upstreams.has(line.fields.upstream) && isAround(this.scope, line, AROUND_MS) && isVerdict(line)
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

    private addState(line: LogLine, state: string, scope: StoryScope): void {
        if (isAround(scope, line, 0)) {
            this.beliefs.push(line);
            return;
        }
        const key = `${line.instance} ${state}`;
        const known = this.newestBefore.get(key);
        if (line.timeMs < scope.startMs && line.timeMs >= (known?.timeMs ?? 0)) {
            this.newestBefore.set(key, line);
        }
    }
}

function scopeOf(story: readonly LogLine[]): StoryScope {
    const times = story.map(line => line.timeMs);
    return {
        startMs: Math.min(...times),
        endMs: Math.max(...times),
        instances: new Set(story.map(line => line.instance)),
        upstreams: new Set(story.flatMap(line => line.fields.upstream ?? [])),
    };
}

function isAround(scope: StoryScope, line: LogLine, marginMs: number): boolean {
    return line.timeMs >= scope.startMs - marginMs && line.timeMs <= scope.endMs + marginMs;
}

/** Lines on an upstream that are not just another request there. */
function isVerdict(line: LogLine): boolean {
    return line.event === "upstream-changed" || line.fields.isEjected === true;
}
