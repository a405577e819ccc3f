interface PingMonitorOptions {
    silentAfterMs: number;
}

/** Determines the liveness of a connection at its accepting end from the pings that arrive. */
export class PingMonitor {
    private readonly silentAfterMs: number;
    private lastPingAtMs: number;
    private intervalMs = 0;

    constructor(opts: PingMonitorOptions, nowMs: number) {
        this.silentAfterMs = opts.silentAfterMs;
        this.lastPingAtMs = nowMs;
    }

    /** @param intervalMs when the next ping is due, in milliseconds from now */
    onPing(nowMs: number, intervalMs: number): void {
        this.lastPingAtMs = nowMs;
        this.intervalMs = intervalMs;
    }

    /** Excludes time in which this process was stalled, because it did not read pings that arrived meanwhile. */
    excludeStall(stallMs: number): void {
        this.lastPingAtMs += stallMs;
    }

    /**
     * Returns `suspect` where the next ping is late by half its interval, or by half of `silentAfterMs` if that is
     * shorter, and `silent` where it is late by `silentAfterMs`.
     */
    liveness(nowMs: number): "alive" | "suspect" | "silent" {
        const lateMs = nowMs - this.lastPingAtMs - this.intervalMs;
        if (lateMs >= this.silentAfterMs) {
            return "silent";
        }
        return lateMs >= Math.min(this.intervalMs, this.silentAfterMs) / 2 && this.intervalMs > 0
            ? "suspect"
            : "alive";
    }
}
