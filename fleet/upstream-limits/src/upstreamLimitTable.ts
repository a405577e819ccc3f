import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { Random } from "@knapweedwood/core.random/random";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { AnnouncedLimit } from "./announcedLimit.js";
import type { UpstreamLimit } from "./upstreamLimit.js";

/** Time after the last response for which a limit is remembered, in milliseconds. */
const RETENTION_MS = 60_000;
/** Time for which processes tell the others that an upstream names no limit any more, in milliseconds. */
const ANNOUNCE_END_MS = 5000;
/** Time from a change to its second announcement, in case that the first is lost, in milliseconds. */
const REPEAT_MS = 150;
/** Time between later announcements of a limit by any process, for those that start, in milliseconds. */
const ANNOUNCE_INTERVAL_MS = 1000;
/** Maximum number of announcements in a report, so that it fits a datagram. The others follow in the next ones. */
const MAX_ANNOUNCED = 20;

interface LimitRecord extends UpstreamLimit {
    announceAtMs: number;
    isAnnounced: boolean;
}

/**
 * Remembers the limit that each upstream has named last, by the responses to any process. A process that has seen a change
 * tells the others. Later one process after the other repeats it.
 */
export class UpstreamLimitTable {
    private readonly random: Random;
    private readonly limits = new Map<UpstreamId, LimitRecord>();

    /** @param opts.random spreads the announcements of several processes */
    constructor(opts: { random: Random; }) {
        this.random = opts.random;
    }

    /**
     * Records what a response to this process says.
     *
     * @returns whether that is new
     */
    observe(limit: UpstreamLimit): boolean {
        const previous = this.limits.get(limit.upstreamId);
        const isChanged = !isSameLimit(previous, limit);
        const { announceAtMs, isAnnounced } = isChanged || previous === undefined
            ? { announceAtMs: limit.observedAtMs, isAnnounced: false }
            : previous;
        this.limits.set(limit.upstreamId, { ...limit, announceAtMs, isAnnounced });
        return isChanged;
    }

    /**
     * Records what another process says, unless a later response is known.
     *
     * @returns the limit if it is new; otherwise undefined
     */
    adopt({ ageMs, ...announced }: AnnouncedLimit, nowMs: number): UpstreamLimit | undefined {
        const previous = this.limits.get(announced.upstreamId);
        const limit = { ...announced, observedAtMs: nowMs - ageMs };
        const isLater = previous === undefined || limit.startedAtMs > previous.startedAtMs
            || (limit.startedAtMs === previous.startedAtMs && limit.observedAtMs > previous.observedAtMs);
        if (isSameLimit(previous, limit)) {
            previous!.announceAtMs = this.nextAnnouncementMs(nowMs);
            previous!.observedAtMs = Math.max(previous!.observedAtMs, limit.observedAtMs);
            return undefined;
        }
        if (!isLater) {
            return undefined;
        }
        this.limits.set(limit.upstreamId, {
            ...limit,
            announceAtMs: this.nextAnnouncementMs(nowMs),
            isAnnounced: true,
        });
        return limit;
    }

    /** Returns the limit of an upstream, in requests a second; undefined if it names none. */
    limitOf({ id, startedAtMs }: Pick<Upstream, "id" | "startedAtMs">): number | undefined {
        const limit = this.limits.get(id);
        return limit?.startedAtMs === startedAtMs ? limit.requestsPerSecond : undefined;
    }

    /** Returns the limits that are in force, shape [upstreams]. */
    inForce(): { upstreamId: UpstreamId; requestsPerSecond: number; }[] {
        return [...this.limits.values()].flatMap(({ upstreamId, requestsPerSecond }) =>
            requestsPerSecond === undefined ? [] : [{ upstreamId, requestsPerSecond }]
        );
    }

    /** Makes all announcements due, since another process has started. */
    announceAll(nowMs: number): void {
        this.limits.forEach(limit => {
            limit.announceAtMs = nowMs;
        });
    }

    /** Returns the announcements for the next report, shape [upstreams]. */
    takeAnnouncements(nowMs: number): AnnouncedLimit[] {
        return [...this.limits.values()]
            .filter(limit => nowMs >= limit.announceAtMs)
            .filter(limit => limit.requestsPerSecond !== undefined || nowMs < limit.observedAtMs + ANNOUNCE_END_MS)
            .slice(0, MAX_ANNOUNCED)
            .map(limit => {
                limit.announceAtMs = limit.isAnnounced ? this.nextAnnouncementMs(nowMs) : nowMs + REPEAT_MS;
                limit.isAnnounced = true;
                const { upstreamId, startedAtMs, requestsPerSecond, observedAtMs } = limit;
                return { upstreamId, startedAtMs, requestsPerSecond, ageMs: nowMs - observedAtMs };
            });
    }

    /** Removes limits of upstreams that haven't responded for long. Returns their ids, shape [upstreams]. */
    expire(nowMs: number): UpstreamId[] {
        const expired = [...this.limits.values()].filter(({ observedAtMs }) => observedAtMs < nowMs - RETENTION_MS);
        return expired.map(({ upstreamId }) => {
            this.limits.delete(upstreamId);
            return upstreamId;
        });
    }

    private nextAnnouncementMs(nowMs: number): number {
        return nowMs + ANNOUNCE_INTERVAL_MS * (1 + this.random.next());
    }
}

function isSameLimit(left: UpstreamLimit | undefined, right: UpstreamLimit): boolean {
    return left?.requestsPerSecond === right.requestsPerSecond && left?.startedAtMs === right.startedAtMs;
}
