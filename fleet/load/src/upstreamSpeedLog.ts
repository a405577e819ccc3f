import type { Clock } from "@knapweedwood/core.clock/clock";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import type { UpstreamSpeeds } from "./upstreamSpeeds.js";

/** Bounds of the classes of slowness. A change of the class is logged. */
const THRESHOLDS = [0.7, 1.5, 4];
/** Ratio by which a threshold must be exceeded in either direction. */
const HYSTERESIS = 1.15;
/** Minimum time between two log lines on one upstream, in milliseconds. */
const MIN_INTERVAL_MS = 2000;
const HUNDREDTHS = 100;

interface LoggedSpeed {
    speedClass: number;
    atMs: number;
}

/** Logs when the lasting speed of an upstream has crossed a threshold. */
export class UpstreamSpeedLog {
    private readonly opts: { clock: Clock; logger: Logger; speeds: UpstreamSpeeds; };
    private readonly logged = new Map<UpstreamId, LoggedSpeed>();

    constructor(opts: UpstreamSpeedLog["opts"]) {
        this.opts = opts;
    }

    /** Looks for changes. To be called periodically. */
    review(): void {
        const ids = new Set(this.opts.speeds.ids());
        [...this.logged.keys()].filter(id => !ids.has(id)).forEach(id => this.logged.delete(id));
        ids.forEach(id => this.reviewOne(id));
    }

    private reviewOne(id: UpstreamId): void {
        const { clock, logger, speeds } = this.opts;
        const nowMs = clock.nowMs();
        const previous = this.logged.get(id) ?? { speedClass: classOf(1), atMs: -Infinity };
        const slowness = speeds.lastingSlownessOf(id);
        const isInPrevious = classOf(slowness * HYSTERESIS) >= previous.speedClass
            && classOf(slowness / HYSTERESIS) <= previous.speedClass;
        if (isInPrevious || nowMs < previous.atMs + MIN_INTERVAL_MS) {
            return;
        }
        this.logged.set(id, { speedClass: classOf(slowness), atMs: nowMs });
        logger.info("upstream-speed-changed", {
            upstream: id,
            slowness: Math.round(slowness * HUNDREDTHS) / HUNDREDTHS,
            recentSlowness: Math.round(speeds.slownessOf(id) * HUNDREDTHS) / HUNDREDTHS,
            ageMs: Math.round(speeds.ageMs(id) ?? 0),
        });
    }
}

function classOf(slowness: number): number {
    return THRESHOLDS.filter(threshold => slowness >= threshold).length;
}
