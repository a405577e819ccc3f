import type { InstanceId } from "@knapweedwood/core.ids/instanceId";

interface SlowStartOptions {
    /** Time from the first request to the full share, in milliseconds. */
    rampMs: number;
    /** Share of the full weight at the start of the ramp. */
    initialWeight: number;
}

/** Gives upstreams that join or return a share that grows over time, so that they are not overrun. */
export class SlowStart {
    private readonly opts: SlowStartOptions;
    private readonly startedAtMs = new Map<InstanceId, number>();
    private hasListedUpstreams = false;

    constructor(opts: SlowStartOptions) {
        this.opts = opts;
    }

    /** Starts the ramp of upstreams not seen before, except for those known from the start of this process. */
    updateUpstreams(instanceIds: readonly InstanceId[], nowMs: number): void {
        const present = new Set(instanceIds);
        instanceIds
            .filter(instanceId => !this.startedAtMs.has(instanceId))
            .forEach(instanceId =>
                this.startedAtMs.set(instanceId, this.hasListedUpstreams ? nowMs : Number.NEGATIVE_INFINITY)
            );
        [...this.startedAtMs.keys()]
            .filter(instanceId => !present.has(instanceId))
            .forEach(instanceId => this.startedAtMs.delete(instanceId));
        this.hasListedUpstreams ||= instanceIds.length > 0;
    }

    /** Starts the ramp of an upstream that returns. */
    restart(instanceId: InstanceId, nowMs: number): void {
        this.startedAtMs.set(instanceId, nowMs);
    }

    /** Share of the full weight, in (0, 1]. */
    weightOf(instanceId: InstanceId, nowMs: number): number {
        const startedAtMs = this.startedAtMs.get(instanceId) ?? Number.NEGATIVE_INFINITY;
        const progress = Math.min(1, Math.max(0, (nowMs - startedAtMs) / this.opts.rampMs));
        return this.opts.initialWeight + (1 - this.opts.initialWeight) * progress;
    }
}
