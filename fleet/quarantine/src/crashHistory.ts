import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamProcessKey } from "@knapweedwood/core.ids/upstreamProcessKey";

/** Times over which crashes are counted, in milliseconds: a series that has just begun shows in the shorter one. */
const WINDOWS_MS = [3000, 10_000];
const RETENTION_MS = Math.max(...WINDOWS_MS);
/** Number of crashes that are kept of a service. */
const MAX_CRASHES = 500;

interface RecordedCrash {
    process: UpstreamProcessKey;
    atMs: number;
    /** Whether a quarantined request explains it. */
    isExplained: boolean;
}

/**
 * The crashes of upstreams that this process has seen a short time ago. They tell how often an upstream crashes for
 * reasons that have nothing to do with what it runs.
 */
export class CrashHistory {
    private readonly byService = new Map<ServiceName, RecordedCrash[]>();

    /**
     * Records that a run was broken off by a crash. Each upstream process crashes once.
     *
     * @param opts.isExplained whether the run was quarantined, so that it may have caused the crash
     */
    record(service: ServiceName, process: UpstreamProcessKey, opts: { nowMs: number; isExplained: boolean; }): void {
        const { nowMs, isExplained } = opts;
        const recent = this.recent(service, nowMs);
        const known = recent.find(crash => crash.process === process);
        if (known !== undefined) {
            known.isExplained ||= isExplained;
            return;
        }
        this.byService.set(service, [...recent, { process, atMs: nowMs, isExplained }].slice(-MAX_CRASHES));
    }

    /**
     * Returns how many upstreams of a service crashed in a millisecond lately, all of them together.
     *
     * @param opts.excluded upstream processes whose crashes don't count
     */
    crashesPerMs(
        service: ServiceName,
        opts: { nowMs: number; excluded: ReadonlySet<UpstreamProcessKey>; },
    ): number {
        const { nowMs, excluded } = opts;
        const crashes = this.recent(service, nowMs).filter(({ process }) => !excluded.has(process));
        const rates = WINDOWS_MS.map(windowMs =>
            crashes.filter(({ atMs }) => nowMs < atMs + windowMs).length / windowMs
        );
        return Math.max(...rates);
    }

    /** Returns the time of the last crash that no quarantined request explains, in milliseconds; -infinity if none is known. */
    lastUnexplainedAtMs(service: ServiceName, excluded: ReadonlySet<UpstreamProcessKey>): number {
        const crashes = this.byService.get(service) ?? [];
        return crashes.findLast(crash => !crash.isExplained && !excluded.has(crash.process))?.atMs ?? -Infinity;
    }

    private recent(service: ServiceName, nowMs: number): RecordedCrash[] {
        return (this.byService.get(service) ?? []).filter(({ atMs }) => nowMs < atMs + RETENTION_MS);
    }
}
