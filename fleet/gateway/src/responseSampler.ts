import type { Clock } from "@knapweedwood/core.clock/clock";
import type { UpstreamSpeeds } from "@knapweedwood/fleet.load/upstreamSpeeds";
import { EventBoundaries } from "@knapweedwood/fleet.upstreams/eventBoundaries";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";

interface ResponseSamplerOptions {
    clock: Clock;
    speeds: UpstreamSpeeds;
    upstream: Upstream;
    isStream: boolean;
}

/** Takes samples of an upstream's speed from a successful response. */
export class ResponseSampler {
    private readonly opts: ResponseSamplerOptions;
    private readonly sentAtMs: number;
    private readonly boundaries = new EventBoundaries();
    private hasData = false;
    private lastEventAtMs: number | undefined;

    /** The request is sent now. */
    constructor(opts: ResponseSamplerOptions) {
        this.opts = opts;
        this.sentAtMs = opts.clock.nowMs();
    }

    /** Records data of the response. A chunk may contain several events or a part of one. */
    onData(chunk: Buffer): void {
        const { clock, speeds, upstream, isStream } = this.opts;
        if (!isStream) {
            return;
        }
        if (!this.hasData) {
            this.hasData = true;
            speeds.recordFirstData(upstream, this.sentAtMs);
        }
        const count = this.boundaries.push(chunk).length;
        if (count === 0) {
            return;
        }
        if (this.lastEventAtMs !== undefined) {
            speeds.recordEvents(upstream, count, this.lastEventAtMs);
        }
        this.lastEventAtMs = clock.nowMs();
    }

    /** Records that no more data is read for a while, since the caller reads slowly. The gap isn't the upstream's. */
    onPaused(): void {
        this.lastEventAtMs = undefined;
    }

    /** Records the complete response. */
    onEnd(): void {
        const { speeds, upstream, isStream } = this.opts;
        speeds.recordHold(upstream, this.sentAtMs, isStream);
    }
}
