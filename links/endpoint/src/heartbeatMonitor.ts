import type { HeartbeatDecision } from "./heartbeatDecision.js";

interface HeartbeatMonitorOptions {
    intervalMs: number;
    idleIntervalMs: number;
    silentAfterMs: number;
    /** Offset of this process's heartbeats, in milliseconds, so that processes don't send theirs at the same time. */
    phaseMs: number;
}

interface UnansweredPing {
    sequence: number;
    sentAtMs: number;
}

/** Heartbeats are delayed to multiples of this share of the interval, so that a process wakes once for many links. */
const ALIGNMENT_SHARE = 0.25;
const TIMER_TOLERANCE_MS = 2;

/**
 * Determines the liveness of a connection at its dialing end from the round trips of pings, which detects silence in
 * either direction. Pings are sent more often while calls are in progress. Time in which this process itself was
 * stalled doesn't count against the connection.
 */
export class HeartbeatMonitor {
    private readonly opts: HeartbeatMonitorOptions;
    private unanswered: UnansweredPing[] = [];
    private sequence = 0;
    private lastPingAtMs = Number.NEGATIVE_INFINITY;
    private nextTickAtMs = Number.POSITIVE_INFINITY;
    /** Interval announced with the last ping. The peer expects the next ping within it. */
    private announcedIntervalMs = Number.POSITIVE_INFINITY;

    constructor(opts: HeartbeatMonitorOptions) {
        this.opts = opts;
    }

    /** Records the response to a ping. Earlier pings count as answered too. */
    onPong(sequence: number): void {
        this.unanswered = this.unanswered.filter(ping => ping.sequence > sequence);
    }

    /** Returns the liveness of the connection, the ping to send and the time of the next tick. */
    tick(nowMs: number, isBusy: boolean): HeartbeatDecision {
        this.excludeStall(nowMs);
        const intervalMs = isBusy ? this.opts.intervalMs : this.opts.idleIntervalMs;
        const dueAfterMs = Math.min(intervalMs, this.announcedIntervalMs);
        const ping = nowMs - this.lastPingAtMs >= dueAfterMs - TIMER_TOLERANCE_MS
            ? this.sendPing(nowMs, intervalMs)
            : undefined;
        const nextTickMs = this.nextTickMs(nowMs, Math.min(intervalMs, this.announcedIntervalMs));
        this.nextTickAtMs = nowMs + nextTickMs;
        return { liveness: this.liveness(nowMs), ping, nextTickMs };
    }

    private sendPing(nowMs: number, intervalMs: number): { sequence: number; intervalMs: number; } {
        this.sequence += 1;
        this.lastPingAtMs = nowMs;
        this.announcedIntervalMs = intervalMs;
        this.unanswered.push({ sequence: this.sequence, sentAtMs: nowMs });
        return { sequence: this.sequence, intervalMs: intervalMs * (1 + ALIGNMENT_SHARE) };
    }

    private liveness(nowMs: number): HeartbeatDecision["liveness"] {
        const oldest = this.unanswered.at(0);
        const ageMs = oldest === undefined ? 0 : nowMs - oldest.sentAtMs;
        if (ageMs >= this.opts.silentAfterMs) {
            return "silent";
        }
        return ageMs >= this.opts.intervalMs - TIMER_TOLERANCE_MS ? "suspect" : "alive";
    }

    private nextTickMs(nowMs: number, intervalMs: number): number {
        const nextPingMs = Math.max(1, this.alignTime(this.lastPingAtMs + intervalMs, intervalMs) - nowMs);
        const oldest = this.unanswered.at(0);
        if (oldest === undefined) {
            return nextPingMs;
        }
        const silentInMs = Math.max(1, oldest.sentAtMs + this.opts.silentAfterMs - nowMs);
        return Math.min(nextPingMs, silentInMs, this.opts.intervalMs);
    }

    private excludeStall(nowMs: number): void {
        const stallMs = Math.max(0, nowMs - this.nextTickAtMs);
        this.unanswered = this.unanswered.map(ping => ({ ...ping, sentAtMs: ping.sentAtMs + stallMs }));
    }

    private alignTime(timeMs: number, intervalMs: number): number {
        const alignmentMs = intervalMs * ALIGNMENT_SHARE;
        const phaseMs = this.opts.phaseMs;
        return Math.ceil((timeMs - phaseMs) / alignmentMs) * alignmentMs + phaseMs;
    }
}
