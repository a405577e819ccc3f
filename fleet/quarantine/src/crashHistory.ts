import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamProcessKey } from "@knapweedwood/core.ids/upstreamProcessKey";
import { CALM_MS } from "./calmMs.js";
import type { KnownCrash } from "./knownCrash.js";

/** Times over which crashes are counted for a conviction, in milliseconds: a series that has just begun shows in the shorter one. */
const WINDOWS_MS = [3000, 10_000];
/** Time for which a crash is remembered, in milliseconds. */
const RETENTION_MS = 600_000;
/** Number of crashes that are kept of a service. */
const MAX_CRASHES = 500;

/**
 * The crashes of upstreams of which this process knows: its own runs were broken off, a peer suspects what ran there, or
 * the upstream process is no longer listed. They tell how often upstreams crash for reasons that have nothing to do with
 * what they run.
 */
export class CrashHistory {
    private readonly byService = new Map<ServiceName, KnownCrash[]>();
    private changes = 0;

    /** Number that grows with each change. */
    get revision(): number {
        return this.changes;
    }

    /** Records that a run of this process was broken off, also by an upstream process that was known to live on before. */
    recordOwn(service: ServiceName, process: UpstreamProcessKey, nowMs: number): void {
        const hadProbe = this.find(service, process)?.hadProbe ?? false;
        this.put(service, { process, atMs: nowMs, hadProbe, isWithdrawn: false }, nowMs);
    }

    /** Records a crash that this process has learned of, unless it is known. */
    recordLearned(service: ServiceName, process: UpstreamProcessKey, nowMs: number): void {
        if (this.find(service, process) === undefined) {
            this.put(service, { process, atMs: nowMs, hadProbe: false, isWithdrawn: false }, nowMs);
        }
    }

    /** Records that a known crash has broken off a probe. */
    recordProbe(service: ServiceName, process: UpstreamProcessKey): void {
        const crash = this.find(service, process);
        if (crash !== undefined && !crash.hadProbe) {
            crash.hadProbe = true;
            this.changes += 1;
        }
    }

    /** Records that an upstream process has not crashed. */
    withdraw(service: ServiceName, process: UpstreamProcessKey): void {
        const crash = this.find(service, process);
        if (crash !== undefined && !crash.isWithdrawn) {
            crash.isWithdrawn = true;
            this.changes += 1;
        }
    }

    /** Returns the time of the crash of an upstream process, in milliseconds; undefined if it isn't known. */
    atMs(service: ServiceName, process: UpstreamProcessKey): number | undefined {
        return this.find(service, process)?.atMs;
    }

    /**
     * Returns the crashes of a service that no probe explains, shape [crashes]. A probe explains the crash that broke it off, unless
     * upstreams without a probe crashed around the same time.
     */
    unexplained(service: ServiceName, excluded: ReadonlySet<UpstreamProcessKey>): KnownCrash[] {
        const crashes = (this.byService.get(service) ?? []).filter(({ isWithdrawn }) => !isWithdrawn);
        const withoutProbe = crashes.filter(({ hadProbe }) => !hadProbe);
        const isInSeries = ({ atMs }: KnownCrash) => withoutProbe.some(other => Math.abs(other.atMs - atMs) < CALM_MS);
        return crashes.filter(crash => !excluded.has(crash.process) && (!crash.hadProbe || isInSeries(crash)));
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
        const crashes = (this.byService.get(service) ?? [])
            .filter(({ process, isWithdrawn }) => !isWithdrawn && !excluded.has(process));
        const rates = WINDOWS_MS.map(windowMs =>
            crashes.filter(({ atMs }) => nowMs < atMs + windowMs).length / windowMs
        );
        return Math.max(...rates);
    }

    private find(service: ServiceName, process: UpstreamProcessKey): KnownCrash | undefined {
        return this.byService.get(service)?.find(crash => crash.process === process);
    }

    private put(service: ServiceName, crash: KnownCrash, nowMs: number): void {
        const others = (this.byService.get(service) ?? []).filter(({ process, atMs }) =>
            process !== crash.process && nowMs < atMs + RETENTION_MS
        );
        this.byService.set(service, [...others, crash].slice(-MAX_CRASHES));
        this.changes += 1;
    }
}
