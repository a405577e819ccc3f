import type { DisplacementWait } from "@knapweedwood/fleet.load/displacementWait";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { GatewayContext } from "./gatewayContext.js";

/**
 * Longest first wait for batch runs, in milliseconds; each further one may last twice as long. The process that runs them may be
 * gone, or the reports of their end lost.
 */
const FIRST_WAIT_MS = 100;

type RetryContext = Pick<GatewayContext, "clock" | "displacementWaits" | "loadTracker" | "onLoadChanged">;

/**
 * Waits for one request until the batch runs that fill an upstream have given way. Until then, the request counts at the
 * upstream, so that the leader ends a run for it.
 */
export class DisplacementRetry {
    private readonly context: RetryContext;
    private readonly onEnded: (upstream: Upstream) => void;
    /** Upstreams that rejected the request since they were full, the last one first. */
    private readonly fullUpstreams: Upstream[] = [];
    private waitCount = 0;
    private current: { upstream: Upstream; wait: DisplacementWait; } | undefined;

    /** @param opts.onEnded called at the end of a wait */
    constructor(opts: { context: RetryContext; onEnded: (upstream: Upstream) => void; }) {
        this.context = opts.context;
        this.onEnded = opts.onEnded;
    }

    /** Records that an upstream has rejected the request as full. */
    recordFull(upstream: Upstream): void {
        this.fullUpstreams.unshift(upstream);
    }

    /**
     * Begins to wait for one of the full upstreams, if there is one that batch runs fill.
     *
     * @param untilMs latest end of the wait, in milliseconds
     * @returns the upstream; undefined if there is none
     */
    begin(untilMs: number): Upstream | undefined {
        const { clock, displacementWaits, loadTracker, onLoadChanged } = this.context;
        const upstream = this.fullUpstreams.find(full => displacementWaits.isFullOfRuns(full));
        if (upstream !== undefined) {
            loadTracker.count(upstream.id, "online", 1);
            onLoadChanged();
            const onEnded = () => {
                this.cancel();
                this.onEnded(upstream);
            };
            const longestMs = FIRST_WAIT_MS * 2 ** this.waitCount;
            this.waitCount += 1;
            const wait = displacementWaits.add({
                upstream,
                untilMs: Math.min(untilMs, clock.nowMs() + longestMs),
                onEnded,
            });
            this.current = { upstream, wait };
        }
        return upstream;
    }

    /** Ends the wait, if there is one. */
    cancel(): void {
        if (this.current !== undefined) {
            const { upstream, wait } = this.current;
            this.current = undefined;
            wait.cancel();
            this.context.loadTracker.count(upstream.id, "online", -1);
            this.context.onLoadChanged();
        }
    }
}
