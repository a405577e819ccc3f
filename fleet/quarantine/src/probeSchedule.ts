import type { Random } from "@knapweedwood/core.random/random";
import { CALM_MS } from "./calmMs.js";
import { isFingerprint } from "./isFingerprint.js";
import type { QuarantineDoubt } from "./quarantineDoubt.js";
import type { SuspicionState } from "./suspicionState.js";
import type { SuspicionTable } from "./suspicionTable.js";

/** Time after which one request with a quarantined trait is let through, in milliseconds. */
const FIRST_PROBE_MS = 30_000;
/** The same for a request that only one process of the fleet runs, so that no two can probe at once. */
const FIRST_SOLE_PROBE_MS = 10_000;
/** Factor by which the time to the next probe grows with each probe. */
const PROBE_BACKOFF = 4;
/** Longest time to a probe without jitter, in milliseconds. */
const MAX_PROBE_MS = 3_600_000;
/** Time between two probes of a doubtful quarantine while upstreams crash all the time, in milliseconds. */
const DOUBTFUL_PROBE_MS = 10_000;
/** Longest additional time to a probe of a process, as a share, so that not all processes probe at once. */
const PROBE_JITTER = 1;

interface ProbeScheduleOptions {
    random: Random;
    doubt: QuarantineDoubt;
    table: SuspicionTable;
}

/**
 * Decides when one request tests a quarantined trait: ever less often while it crashes upstreams, sooner where the quarantine
 * may be wrong.
 */
export class ProbeSchedule {
    private readonly opts: ProbeScheduleOptions;
    private readonly delayFactor: number;

    constructor(opts: ProbeScheduleOptions) {
        this.opts = opts;
        this.delayFactor = 1 + opts.random.next() * PROBE_JITTER;
    }

    /**
     * Returns when the next request with a quarantined trait may run, in milliseconds.
     *
     * @param isSoleRunner whether no other process runs this very request
     */
    dueAtMs(state: SuspicionState, isSoleRunner: boolean): number {
        const { suspicion: { part, probes }, changedAtMs } = state;
        const isSole = isSoleRunner && isFingerprint(part);
        const delayMs = (isSole ? FIRST_SOLE_PROBE_MS : FIRST_PROBE_MS) * PROBE_BACKOFF ** probes;
        const usualMs = changedAtMs + Math.min(delayMs, MAX_PROBE_MS) * (isSole ? 1 : this.delayFactor);
        return Math.min(usualMs, this.earlyDueAtMs(state, isSoleRunner));
    }

    /**
     * Returns when a quarantine is probed earlier than others: if the last probe told nothing; if it is doubtful, once the
     * upstreams have been calm, or from time to time if they never are; if nothing is known but that it is in force.
     */
    private earlyDueAtMs(state: SuspicionState, isSoleRunner: boolean): number {
        const { quarantinedAtMs, probedAtMs, brokenProbe, isUnverified } = state;
        const jitter = isSoleRunner ? 1 : this.delayFactor;
        const sinceMs = Math.max(quarantinedAtMs, probedAtMs);
        if (this.opts.table.hasUpstreamSurvivedProbe(state)) {
            return sinceMs + CALM_MS * jitter;
        }
        if (brokenProbe !== undefined && this.opts.table.isProbeAmbiguous(state)) {
            return sinceMs + CALM_MS * (jitter + brokenProbe.jitter);
        }
        const repeatedAtMs = sinceMs + DOUBTFUL_PROBE_MS * jitter;
        const doubtedAtMs = this.opts.doubt.doubtedAtMs(state);
        if (doubtedAtMs !== undefined) {
            return Math.min(repeatedAtMs, Math.max(doubtedAtMs, probedAtMs) + CALM_MS * jitter);
        }
        return isSoleRunner && isUnverified ? repeatedAtMs : Infinity;
    }
}
