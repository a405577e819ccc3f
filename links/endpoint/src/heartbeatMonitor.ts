import type { Random } from "@knapweedwood/core.random/random";
import type { HeartbeatDecision } from "./heartbeatDecision.js";

interface HeartbeatMonitorOptions {
    intervalMs: number;
    idleIntervalMs: number;
    silentAfterMs: number;
    random: Random;
}

interface UnansweredPing {
    sequence: number;
    sentAtMs: number;
}

const JITTER_SHARE = 0.1;

/**
 * Judges a connection by its round trips, so that silence in either direction is seen. Pings are sent more often
 * while calls are in flight. Time in which this process itself stood still is not held against the connection.
 */
export class HeartbeatMonitor {
    private readonly opts: HeartbeatMonitorOptions;
    private unanswered: UnansweredPing[] = [];
    private sequence = 0;
    private lastPingAtMs = Number.NEGATIVE_INFINITY;
    private nextTickAtMs = Number.POSITIVE_INFINITY;

    constructor(opts: HeartbeatMonitorOptions) {
        this.opts = opts;
    }

    onPong(sequence: number): void {
        this.unanswered = this.unanswered.filter(ping => ping.sequence > sequence);
    }

    tick(nowMs: number, isBusy: boolean): HeartbeatDecision {
        this.excuseStall(nowMs);
        const intervalMs = this.jittered(isBusy ? this.opts.intervalMs : this.opts.idleIntervalMs);
        const ping = nowMs - this.lastPingAtMs >= intervalMs * (1 - JITTER_SHARE)
            ? this.sendPing(nowMs, intervalMs)
            : undefined;
        const nextTickMs = this.nextTickMs(nowMs, intervalMs);
        this.nextTickAtMs = nowMs + nextTickMs;
        return { verdict: this.verdict(nowMs), ping, nextTickMs };
    }

    private sendPing(nowMs: number, intervalMs: number): { sequence: number; intervalMs: number; } {
        this.sequence += 1;
        this.lastPingAtMs = nowMs;
        this.unanswered.push({ sequence: this.sequence, sentAtMs: nowMs });
        return { sequence: this.sequence, intervalMs };
    }

    private verdict(nowMs: number): HeartbeatDecision["verdict"] {
        const oldest = this.unanswered.at(0);
        const ageMs = oldest === undefined ? 0 : nowMs - oldest.sentAtMs;
        if (ageMs >= this.opts.silentAfterMs) {
            return "silent";
        }
        return ageMs >= this.opts.intervalMs * (1 - JITTER_SHARE) ? "suspect" : "alive";
    }

    private nextTickMs(nowMs: number, intervalMs: number): number {
        const nextPingMs = Math.max(1, this.lastPingAtMs + intervalMs - nowMs);
        return this.unanswered.length === 0 ? nextPingMs : Math.min(nextPingMs, this.opts.intervalMs);
    }

    private excuseStall(nowMs: number): void {
        const stallMs = Math.max(0, nowMs - this.nextTickAtMs);
        this.unanswered = this.unanswered.map(ping => ({ ...ping, sentAtMs: ping.sentAtMs + stallMs }));
    }

    private jittered(intervalMs: number): number {
        return intervalMs * (1 + JITTER_SHARE * (2 * this.opts.random.next() - 1));
    }
}
