import type { UpstreamProcessKey } from "@knapweedwood/core.ids/upstreamProcessKey";

/** How long runs with a trait had lasted when upstreams broke them off, as far as this process has run them. */
export class CrashExposure {
    private readonly crashed = new Set<UpstreamProcessKey>();
    private totalMs = 0;

    /** Records a run that was broken off. Several runs may have been broken off by one crash. */
    add(process: UpstreamProcessKey, durationMs: number): void {
        this.crashed.add(process);
        this.totalMs += durationMs;
    }

    /** Returns the time of runs for each crash, in milliseconds; undefined if this process has seen no crash. */
    get meanMs(): number | undefined {
        return this.crashed.size > 0 ? this.totalMs / this.crashed.size : undefined;
    }
}
