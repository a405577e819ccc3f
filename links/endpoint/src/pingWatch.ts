interface PingWatchOptions {
    silentAfterMs: number;
}

/** Judges a connection, at the end that accepted it, by the pings that arrive. */
export class PingWatch {
    private readonly silentAfterMs: number;
    private heardAtMs: number;
    private intervalMs = 0;

    constructor(opts: PingWatchOptions, nowMs: number) {
        this.silentAfterMs = opts.silentAfterMs;
        this.heardAtMs = nowMs;
    }

    /** @param intervalMs when the next ping is due, in milliseconds from now */
    onPing(nowMs: number, intervalMs: number): void {
        this.heardAtMs = nowMs;
        this.intervalMs = intervalMs;
    }

    /** Takes out time in which this process itself stood still, so that pings may wait unread. */
    excuse(stallMs: number): void {
        this.heardAtMs += stallMs;
    }

    verdict(nowMs: number): "alive" | "suspect" | "silent" {
        const lateMs = nowMs - this.heardAtMs - this.intervalMs;
        if (lateMs >= this.silentAfterMs) {
            return "silent";
        }
        return lateMs >= Math.min(this.intervalMs, this.silentAfterMs) / 2 && this.intervalMs > 0
            ? "suspect"
            : "alive";
    }
}
