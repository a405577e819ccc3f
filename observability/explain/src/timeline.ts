import type { LogLine } from "./logLine.js";
import type { TimelineEntry } from "./timelineEntry.js";

/** Fields that hold ids of requests, jobs and items. */
const ID_FIELDS = ["requestId", "jobId", "itemId"];
/**
 * Events that change the state of a process, with the kind of state. The latest of each kind before the first match
 * is context too.
 */
const STATE_EVENTS: { [event: string]: string; } = {
    "started": "lifecycle",
    "stopping": "lifecycle",
    "stopped": "lifecycle",
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
/** Status lines of an upstream count as context this long before the first match and after the last one. */
const UPSTREAM_MARGIN_MS = 5000;

/** Period, instances and upstreams of the matching lines; they decide which other lines are context. */
interface MatchScope {
    startMs: number;
    endMs: number;
    instances: Set<string>;
    upstreams: Set<unknown>;
}

/**
 * Collects the log lines of one id from many processes, and as context the state of these processes at the time. The
 * caller passes every line twice, first all to `addMatch`, then all to `addContext`, so that the logs need not fit
 * into memory.
 */
export class Timeline {
    private readonly id: string;
    private readonly matches: LogLine[] = [];
    private readonly contextLines: LogLine[] = [];
    /** Computed once, after all matches have been added. */
    private scope: MatchScope | undefined;
    private readonly latestStates = new Map<string, LogLine>();

    constructor(id: string) {
        this.id = id;
    }

    /** Adds the line if it contains the id. */
    addMatch(line: LogLine): void {
        if (this.isMatch(line)) {
            this.matches.push(line);
        }
    }

    /** Adds the line if it describes the state of a process or an upstream that the matches concern. */
    addContext(line: LogLine): void {
        if (this.matches.length === 0 || this.isMatch(line)) {
            return;
        }
        this.scope ??= scopeOf(this.matches);
        const state = STATE_EVENTS[line.event];
        if (state !== undefined && this.scope.instances.has(line.instance)) {
            this.addState(line, state, this.scope);
        }
        else if (
            this.scope.upstreams.has(line.fields.upstream) && isWithin(this.scope, line, UPSTREAM_MARGIN_MS)
            && isUpstreamStatus(line)
        ) {
            this.contextLines.push(line);
        }
    }

    /** Returns the timeline in order of time, shape [lines]. */
    entries(): TimelineEntry[] {
        const context = [...this.latestStates.values(), ...this.contextLines].map(line => ({
            line,
            kind: "belief" as const,
        }));
        const matches = this.matches.map(line => ({ line, kind: "story" as const }));
        return [...context, ...matches].sort((left, right) => left.line.timeMs - right.line.timeMs);
    }

    private isMatch(line: LogLine): boolean {
        return ID_FIELDS.some(field => line.fields[field] === this.id);
    }

    private addState(line: LogLine, state: string, scope: MatchScope): void {
        if (isWithin(scope, line, 0)) {
            this.contextLines.push(line);
            return;
        }
        const key = `${line.instance} ${state}`;
        const earlier = this.latestStates.get(key);
        if (line.timeMs < scope.startMs && line.timeMs >= (earlier?.timeMs ?? 0)) {
            this.latestStates.set(key, line);
        }
    }
}

function scopeOf(matches: readonly LogLine[]): MatchScope {
    const times = matches.map(line => line.timeMs);
    return {
        startMs: Math.min(...times),
        endMs: Math.max(...times),
        instances: new Set(matches.map(line => line.instance)),
        upstreams: new Set(matches.flatMap(line => line.fields.upstream ?? [])),
    };
}

function isWithin(scope: MatchScope, line: LogLine, marginMs: number): boolean {
    return line.timeMs >= scope.startMs - marginMs && line.timeMs <= scope.endMs + marginMs;
}

/** Returns whether a line with an upstream reports the upstream's status rather than another request. */
function isUpstreamStatus(line: LogLine): boolean {
    return line.event === "upstream-changed" || line.fields.isEjected === true;
}
