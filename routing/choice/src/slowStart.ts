import type { InstanceId } from "@knapweedwood/core.ids/instanceId";

interface SlowStartOptions {
    /** Duration of the ramp from the initial weight to the full weight, in milliseconds. */
    rampMs: number;
    /** Share of the full weight at the start of the ramp. */
    initialWeight: number;
}

/** Increases the weight of upstreams that join or return gradually, so that they are not overloaded. */
export class SlowStart {
    private readonly opts: SlowStartOptions;
    private readonly startedAtMs = new Map<InstanceId, number>();
    private hasListedUpstreams = false;

    constructor(opts: SlowStartOptions) {
        this.opts = opts;
    }

    /** Starts the ramp of newly listed upstreams, except those in the first non-empty list of this process. */
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

    /** Restarts the ramp of an upstream that returns at `startsAtMs`. */
    restart(instanceId: InstanceId, startsAtMs: number): void {
        this.startedAtMs.set(instanceId, startsAtMs);
    }

    /** Returns the share of the full weight, in (0, 1]. */
    weightOf(instanceId: InstanceId, nowMs: number): number {
        const startedAtMs = this.startedAtMs.get(instanceId) ?? Number.NEGATIVE_INFINITY;
        const progress = Math.min(1, Math.max(0, (nowMs - startedAtMs) / this.opts.rampMs));
        return this.opts.initialWeight + (1 - this.opts.initialWeight) * progress;
    }
}
