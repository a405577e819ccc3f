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

    /**
     * Records a ping.
     *
     * @param intervalMs time within which the next ping is due, in milliseconds
     */
    onPing(nowMs: number, intervalMs: number): void {
        this.lastPingAtMs = nowMs;
        this.intervalMs = intervalMs;
    }

    /** Excludes time in which this process itself was stalled, because pings may have arrived without being read. */
    excludeStall(stallMs: number): void {
        this.lastPingAtMs += stallMs;
    }

    /**
     * Returns the liveness at `nowMs`. It is `silent` where the next ping is late by `silentAfterMs` or more. It is
     * `suspect` where a ping has arrived and the next one is late by half of its interval or of `silentAfterMs`,
     * whichever is less.
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
