import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import { CALM_MS } from "./calmMs.js";
import type { CrashHistory } from "./crashHistory.js";
import { crashId } from "./crashId.js";
import type { KnownCrash } from "./knownCrash.js";
import { poissonTail } from "./poissonTail.js";
import type { QuarantineEvidence } from "./quarantineEvidence.js";
import type { SuspicionState } from "./suspicionState.js";

/** Time before the last crash of a quarantine in which other crashes put it in doubt, in milliseconds. Later ones count too. */
const SERIES_MS = 2 * CALM_MS;
/** Times over which other crashes are counted, in milliseconds. Several upstreams may crash at once. */
const WINDOWS_MS = [300, 3000, SERIES_MS];
/**
 * Probability of as many crashes by coincidence, from which on a quarantine is in doubt. It is smaller than that at which
 * crashes convict, since of many requests that are cut the least lucky ones are quarantined.
 */
const COINCIDENCE_PROBABILITY = 1e-7;
/** Duration of a run that is assumed where only other processes have seen the runs, in milliseconds. */
const ASSUMED_RUN_MS = 1000;

interface QuarantineDoubtOptions {
    history: CrashHistory;
    /** Returns the number of upstreams of a service. */
    upstreamCount: (service: ServiceName) => number;
}

/** An assessment, valid as long as what it followed from. */
interface Assessment {
    revision: number;
    exposureMs: number | undefined;
    doubtedAtMs: number | undefined;
}

/**
 * Tells which quarantines may be wrong, from all that is known when it is asked. Requests with a quarantined trait run no
 * longer, so it can't be the cause of crashes that follow. If upstreams went on crashing, or crashed around the same time, the
 * crashes under the trait may have had that cause too.
 */
export class QuarantineDoubt {
    private readonly opts: QuarantineDoubtOptions;
    private readonly assessments = new WeakMap<SuspicionState, Assessment>();

    constructor(opts: QuarantineDoubtOptions) {
        this.opts = opts;
    }

    /** Returns the time of the last crash that puts a quarantine in doubt, in milliseconds; undefined if it is not in doubt. */
    doubtedAtMs(state: SuspicionState): number | undefined {
        const { revision } = this.opts.history;
        const exposureMs = state.exposure.meanMs;
        const known = this.assessments.get(state);
        if (known !== undefined && known.revision === revision && known.exposureMs === exposureMs) {
            return known.doubtedAtMs;
        }
        const doubtedAtMs = this.assess(state);
        this.assessments.set(state, { revision, exposureMs, doubtedAtMs });
        return doubtedAtMs;
    }

    /** Returns what a quarantine follows from. */
    evidence(state: SuspicionState, nowMs: number): QuarantineEvidence {
        const others = this.otherCrashes(state);
        const runMsPerCrash = state.exposure.meanMs;
        return {
            isDoubtful: this.doubtedAtMs(state) !== undefined,
            otherCrashes: others.length,
            ...others.length > 0 ? { otherCrashAgeMs: Math.round(nowMs - lastAtMsOf(others)) } : {},
            ...runMsPerCrash === undefined ? {} : { runMsPerCrash: Math.round(runMsPerCrash) },
        };
    }

    private assess(state: SuspicionState): number | undefined {
        const others = this.otherCrashes(state);
        return others.length > 0 && this.isLikelyCoincidence(state, others) ? lastAtMsOf(others) : undefined;
    }

    /** Returns the crashes around those of a quarantine and later ones, which neither it nor a probe explains, shape [crashes]. */
    private otherCrashes(state: SuspicionState): KnownCrash[] {
        const { suspicion: { service, crashes }, quarantinedAtMs, probedAtMs } = state;
        const own = crashes.map(crashId.processOf);
        const knownAtMs = own.flatMap(process => this.opts.history.atMs(service, process) ?? []);
        const lastOwnAtMs = knownAtMs.length > 0
            ? Math.max(...knownAtMs, probedAtMs)
            : Math.max(quarantinedAtMs, probedAtMs);
        return this.opts.history.unexplained(service, new Set(own)).filter(({ atMs }) =>
            atMs > lastOwnAtMs - SERIES_MS
        );
    }

    /** Whether as many crashes were likely in the time of the runs that they broke off, while others crashed most often. */
    private isLikelyCoincidence(state: SuspicionState, others: readonly KnownCrash[]): boolean {
        const { service, crashes } = state.suspicion;
        const durationMs = (state.exposure.meanMs ?? ASSUMED_RUN_MS) * crashes.length;
        const expected = peakPerMs(others) * durationMs / Math.max(1, this.opts.upstreamCount(service));
        return poissonTail(crashes.length, expected) > COINCIDENCE_PROBABILITY;
    }
}

/** Returns the highest number of crashes in a millisecond over any of the windows. The crashes are in the order of their times. */
function peakPerMs(crashes: readonly KnownCrash[]): number {
    const rates = WINDOWS_MS.map(windowMs => {
        const initial = { first: 0, most: 0 };
        const { most } = crashes.reduce(({ first, most: before }, { atMs }, index) => {
            const skipped = crashes.slice(first, index).findIndex(crash => crash.atMs > atMs - windowMs);
            const begin = skipped < 0 ? index : first + skipped;
            return { first: begin, most: Math.max(before, index - begin + 1) };
        }, initial);
        return most / windowMs;
    });
    return Math.max(...rates);
}

function lastAtMsOf(crashes: readonly KnownCrash[]): number {
    return Math.max(...crashes.map(({ atMs }) => atMs));
}
