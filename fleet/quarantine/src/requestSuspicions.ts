import type { RequestTraitId } from "@knapweedwood/core.ids/requestTraitId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamProcessKey } from "@knapweedwood/core.ids/upstreamProcessKey";
import type { Random } from "@knapweedwood/core.random/random";
import { CrashHistory } from "./crashHistory.js";
import { crashId } from "./crashId.js";
import { isFingerprint } from "./isFingerprint.js";
import { mergeSuspicions } from "./mergeSuspicions.js";
import { poissonTail } from "./poissonTail.js";
import { RecentSuccesses } from "./recentSuccesses.js";
import type { RequestRun } from "./requestRun.js";
import type { Suspicion } from "./suspicion.js";
import { suspicionKeyOf } from "./suspicionKeyOf.js";
import type { SuspicionState } from "./suspicionState.js";
import { SuspicionTable } from "./suspicionTable.js";

/** What convicts a trait: the crashes under it, and how many of them came one after the other. */
const CONVICTION = { crashes: 3, rounds: 2 };
/** The same for a trait with which requests have succeeded, since it is less likely the cause. */
const CONVICTION_AFTER_SUCCESS = { crashes: 5, rounds: 3 };
/** Number of requests of a service, broken off more than once in this time, above which the network may be the cause. */
const MAX_REQUESTS_CUT_REPEATEDLY = 8;
/** That time, in milliseconds. */
const BROAD_FAILURE_MS = 10_000;
/** Time after which one request with a quarantined trait is let through, in milliseconds. */
const FIRST_PROBE_MS = 30_000;
/** The same for a request that only one process of the fleet runs, so that no two can probe at once. */
const FIRST_SOLE_PROBE_MS = 10_000;
/** Factor by which the time to the next probe grows with each probe. */
const PROBE_BACKOFF = 4;
/**
 * Time after which the next probe of a doubtful quarantine may come, in milliseconds, for each probe before it. It comes
 * earlier than others only once the upstreams have been calm.
 */
const DOUBTFUL_PROBE_MS = 5000;
const MIN_DOUBTFUL_PROBE_MS = 10_000;
/** Time without a crash that no quarantine explains, after which the upstreams of a service are calm, in milliseconds. */
const CALM_MS = 5000;
/** Longest additional time to a probe of a process, as a share, so that not all processes probe at once. */
const PROBE_JITTER = 1;
/**
 * Probability of as many crashes by coincidence, from which on they convict nothing. Many requests are cut by each crash, so
 * that it has to be small.
 */
const COINCIDENCE_PROBABILITY = 0.001;
/** Duration of a run that is assumed where only other processes have seen the runs, in milliseconds. */
const ASSUMED_RUN_MS = 1000;

interface RequestSuspicionsOptions {
    random: Random;
    /** Returns the number of upstreams of a service. */
    upstreamCount: (service: ServiceName) => number;
}

/**
 * Finds the requests and the parts of prompts that crash upstreams, from the outcomes of runs of all processes. A crash
 * breaks off all requests at an upstream, also the sound ones, and a failing network many at once, so neither proves
 * anything. Each request has traits: the shared parts of its prompt in their order, then its fingerprint. A trait is
 * quarantined once several upstreams have crashed under it, some of them one after the other, without a complete response
 * in between: traits that sound requests share are disproved by the next response. Where several traits of a request are as
 * suspect, the last one is taken, which the fewest requests share; it explains the crashes under the others. A fingerprint
 * does not clear the parts of its request, since the repeats of one request may be all that was seen so far.
 *
 * Upstreams also crash for reasons of their own. Where they did so a short time ago, so often that as many crashes were to
 * be expected in the time of the runs that they broke off, the crashes convict nothing. A quarantine that began, or whose
 * probe failed, among crashes of other upstreams is doubtful: its next probe comes soon after they have ended.
 *
 * An upstream that breaks one response off and lives on has not crashed: once its process responds to a later run, the crash
 * is withdrawn.
 *
 * Suspicions are merged in any order, also repeatedly: a later disproof counts for more than crashes; crashes add up, and so
 * do withdrawn ones, which count for more. Processes therefore agree without clocks or a leader, and restarted or late ones catch up.
 *
 * Load pattern: requests with one part come at any gateway, no two alike, among sound ones with the same other parts;
 * or one request comes again and again, among sound ones that are cut along with it.
 */
export class RequestSuspicions {
    private readonly table = new SuspicionTable();
    /** Successes of services and of parts of prompts. */
    private readonly successes = new RecentSuccesses();
    /** Those of single requests, apart, as they are many and would displace the others. */
    private readonly requestSuccesses = new RecentSuccesses();
    private readonly crashHistory = new CrashHistory();
    private readonly probeDelayFactor: number;
    private readonly opts: RequestSuspicionsOptions;

    constructor(opts: RequestSuspicionsOptions) {
        this.opts = opts;
        this.probeDelayFactor = 1 + opts.random.next() * PROBE_JITTER;
    }

    /** Returns what is known of the traits of a run that begins. */
    observe(service: ServiceName, traits: readonly RequestTraitId[], nowMs: number): RequestRun {
        return {
            service,
            sequence: this.table.crashes.nextSequence(),
            startedAtMs: nowMs,
            traits: traits.map(trait => {
                const { disproofs, rounds } = this.table.of(service, trait);
                return { trait, disproofs, rounds };
            }),
        };
    }

    /**
     * Records that a run begins, which is a probe if one of its traits is quarantined. Returns the changed suspicions, shape
     * [suspicions].
     */
    onBegun(run: RequestRun, nowMs: number): Suspicion[] {
        const probed = this.statesOf(run).filter(isQuarantined);
        this.assessDoubt(probed, nowMs);
        return probed.map(({ suspicion }) => this.table.set({ ...suspicion, probes: suspicion.probes + 1 }, nowMs));
    }

    /** Records that an upstream process broke off a run. Returns the changed suspicions, shape [suspicions]. */
    onCrash(run: RequestRun, process: UpstreamProcessKey, nowMs: number): Suspicion[] {
        const isExplained = this.statesOf(run).some(isQuarantined);
        this.crashHistory.record(run.service, process, { nowMs, isExplained });
        const changed = this.count(run, process, nowMs);
        this.assessDoubt(this.statesOf(run), nowMs);
        return changed;
    }

    /** Records a complete response to a run. Returns the changed suspicions, shape [suspicions]. */
    onSuccess({ service, traits }: RequestRun, nowMs: number): Suspicion[] {
        this.successes.add(service, nowMs);
        traits.forEach(({ trait }) => this.successesOf(trait).add(suspicionKeyOf({ service, part: trait }), nowMs));
        return traits
            .map(({ trait }) => this.table.of(service, trait))
            .filter(known => known.crashes.length > 0)
            .map(known => this.disprove({ ...known, hasSucceeded: true }, nowMs));
    }

    /** Whether a crash of the upstream process was known when a run began, so that a response to it withdraws the crash. */
    isSuspected(process: UpstreamProcessKey, run: RequestRun): boolean {
        return this.table.crashes.hasKnownBefore(process, run.sequence);
    }

    /**
     * Withdraws the crashes of an upstream process that were known when a run began, as the process has responded to it. Lifts
     * quarantines for which the others are not enough. Returns the changed suspicions, shape [suspicions].
     */
    withdraw(process: UpstreamProcessKey, sequence: number, nowMs: number): Suspicion[] {
        return this.table.crashes.knownBefore(process, sequence).flatMap(({ key, crash }) => {
            const known = this.table.get(key);
            if (known === undefined) {
                return [];
            }
            const merged = mergeSuspicions(known, { ...known, crashes: [], withdrawn: [crash] });
            return merged === known ? [] : [this.liftIfUnfounded(this.table.set(merged, nowMs), nowMs)];
        });
    }

    /** Merges suspicions of another process. Returns those that were news, shape [suspicions]. */
    merge(received: readonly Suspicion[], nowMs: number): Suspicion[] {
        const changed = received.flatMap(suspicion => this.mergeOne(suspicion, nowMs));
        received.filter(suspicion => suspicion.isQuarantined).forEach(({ service, part }) =>
            this.table.statesOf(service, [part]).forEach(state => {
                state.heardAtMs = nowMs;
            })
        );
        const reviewed = changed.map(merged => this.review(merged, nowMs));
        reviewed.forEach(({ service, part }) => this.assessDoubt(this.table.statesOf(service, [part]), nowMs));
        return reviewed;
    }

    /**
     * Returns the time for which requests with these traits must not run, in milliseconds; 0 if they may run now.
     *
     * @param opts.isSoleRunner whether no other process runs this very request
     */
    blockedForMs(
        service: ServiceName,
        traits: readonly RequestTraitId[],
        opts: { nowMs: number; isSoleRunner: boolean; },
    ): number {
        const { nowMs, isSoleRunner } = opts;
        const blocking = this.table.statesOf(service, traits).filter(isQuarantined);
        blocking.forEach(state => {
            state.askedAtMs = nowMs;
        });
        return Math.max(0, ...blocking.map(state => this.probeDueAtMs(state, isSoleRunner) - nowMs));
    }

    /** Number of suspicions that this process keeps. */
    get size(): number {
        return this.table.size;
    }

    /** Drops the suspicions that are outdated, and returns those dropped since the last call, shape [suspicions]. */
    dropOutdated(nowMs: number): Suspicion[] {
        return this.table.dropOutdated(nowMs);
    }

    /** Returns the suspicions that peers may not know yet, shape [suspicions]. */
    toRepeat(nowMs: number): Suspicion[] {
        return this.table.toRepeat(nowMs);
    }

    /** Counts a crash against the traits of a run. Returns the changed suspicions, shape [suspicions]. */
    private count(run: RequestRun, process: UpstreamProcessKey, nowMs: number): Suspicion[] {
        const { service, traits, startedAtMs } = run;
        const explained = traits.findLastIndex(({ trait }) => this.table.of(service, trait).isQuarantined);
        const struck = traits.slice(explained + 1).flatMap(({ trait, disproofs, rounds }) => {
            const known = this.table.of(service, trait);
            if (known.disproofs !== disproofs) {
                return [];
            }
            const crash = { ...known, crashes: [crashId.of(process, known.withdrawn ?? [])], rounds: rounds + 1 };
            const changed = this.mergeOne(crash, nowMs);
            this.table.statesOf(service, [trait]).forEach(({ exposure }) => exposure.add(process, nowMs - startedAtMs));
            return changed;
        });
        const culprit = struck.filter(suspicion => this.isConvicted(suspicion, nowMs)).at(-1);
        if (culprit === undefined) {
            return struck;
        }
        const others = struck.filter(suspicion => suspicion !== culprit);
        // One request may have crashed them all by its repeats. That doesn't clear a part that other requests have too.
        const isCleared = !isFingerprint(culprit.part);
        return [
            this.table.set({ ...culprit, isQuarantined: true }, nowMs),
            ...isCleared ? others.map(suspicion => this.disprove(suspicion, nowMs)) : others,
        ];
    }

    private statesOf({ service, traits }: RequestRun): SuspicionState[] {
        return this.table.statesOf(service, traits.map(({ trait }) => trait));
    }

    /**
     * Whether as many crashes were likely in the time of the runs that they broke off, whatever these had been. Where one
     * request comes again and again, its own crashes tell nothing of others.
     */
    private isLikelyCoincidence({ service, part, crashes }: Suspicion, nowMs: number): boolean {
        const excluded = new Set(isFingerprint(part) ? crashes.map(crashId.processOf) : []);
        const crashesPerMs = this.crashHistory.crashesPerMs(service, { nowMs, excluded });
        if (crashesPerMs === 0) {
            return false;
        }
        const [state] = this.table.statesOf(service, [part]);
        const durationMs = (state?.exposure.meanMs ?? ASSUMED_RUN_MS) * crashes.length;
        const expected = crashesPerMs * durationMs / Math.max(1, this.opts.upstreamCount(service));
        return poissonTail(crashes.length, expected) > COINCIDENCE_PROBABILITY;
    }

    /** Records of quarantines whether the last crash may have been a coincidence. */
    private assessDoubt(states: readonly SuspicionState[], nowMs: number): void {
        states.filter(isQuarantined).forEach(state => {
            state.isDoubtful = nowMs < this.lastOtherCrashAtMs(state) + CALM_MS;
        });
    }

    /** Returns the time of the last crash that neither the suspicion nor another quarantine explains, in milliseconds. */
    private lastOtherCrashAtMs(state: SuspicionState): number {
        return this.crashHistory.lastUnexplainedAtMs(state.suspicion.service, new Set(crashedProcesses(state)));
    }

    private mergeOne(received: Suspicion, nowMs: number): Suspicion[] {
        const known = this.table.of(received.service, received.part);
        const hasSucceeded = received.hasSucceeded || this.hasSucceeded(received);
        const merged = mergeSuspicions(known, { ...received, hasSucceeded });
        return merged === known ? [] : [this.table.set(merged, nowMs)];
    }

    private isConvicted(suspicion: Suspicion, nowMs: number): boolean {
        const { service, part, crashes, rounds, hasSucceeded } = suspicion;
        // Where no request succeeds at all, the service is failing and not what a request has in common with others.
        if (crashes.length < CONVICTION.crashes || !this.successes.has(service)) {
            return false;
        }
        const isDoubtful = hasSucceeded || (isFingerprint(part) && this.isFailingBroadly(service, nowMs));
        const needed = isDoubtful ? CONVICTION_AFTER_SUCCESS : CONVICTION;
        return crashes.length >= needed.crashes && rounds >= needed.rounds
            && !this.isLikelyCoincidence(suspicion, nowMs);
    }

    /**
     * Lifts a quarantine by a process that didn't know of a success, unless its reasons are enough nevertheless. Convicts a
     * request of which several processes have seen the crashes, or one that knows of no success of the service.
     */
    private review(merged: Suspicion, nowMs: number): Suspicion {
        if (merged.isQuarantined) {
            const isDoubtful = merged.probes === 0 && this.hasSucceeded(merged) && !this.isConvicted(merged, nowMs);
            return isDoubtful ? this.lift(merged, nowMs) : this.liftIfUnfounded(merged, nowMs);
        }
        return isFingerprint(merged.part) && this.isConvicted(merged, nowMs)
            ? this.table.set({ ...merged, isQuarantined: true }, nowMs)
            : merged;
    }

    /** Lifts a quarantine of whose crashes so many were withdrawn that the others convict nothing. */
    private liftIfUnfounded(suspicion: Suspicion, nowMs: number): Suspicion {
        const { isQuarantined: isInForce, withdrawn = [], crashes } = suspicion;
        const isUnfounded = isInForce && withdrawn.length > 0 && crashes.length < CONVICTION.crashes;
        return isUnfounded ? this.lift(suspicion, nowMs) : suspicion;
    }

    private lift(suspicion: Suspicion, nowMs: number): Suspicion {
        const disproofs = suspicion.disproofs + 1;
        return this.table.set({ ...suspicion, disproofs, isQuarantined: false, probes: 0 }, nowMs);
    }

    private hasSucceeded({ service, part }: Suspicion): boolean {
        return this.successesOf(part).has(suspicionKeyOf({ service, part }));
    }

    private successesOf(trait: RequestTraitId): RecentSuccesses {
        return isFingerprint(trait) ? this.requestSuccesses : this.successes;
    }

    /** Whether so many requests have been broken off repeatedly a short time ago that the network may be the cause. */
    private isFailingBroadly(service: ServiceName, nowMs: number): boolean {
        const repeatedlyCut = this.table.all().filter(({ suspicion, changedAtMs }) =>
            suspicion.service === service && isFingerprint(suspicion.part) && !suspicion.isQuarantined
            && suspicion.crashes.length > 1 && nowMs < changedAtMs + BROAD_FAILURE_MS
        );
        return repeatedlyCut.length > MAX_REQUESTS_CUT_REPEATEDLY;
    }

    private disprove(suspicion: Suspicion, nowMs: number): Suspicion {
        const cleared = { crashes: [], withdrawn: [], rounds: 0 };
        return this.lift({ ...suspicion, ...cleared }, nowMs);
    }

    private probeDueAtMs(state: SuspicionState, isSoleRunner: boolean): number {
        const { suspicion: { part, probes }, changedAtMs, isDoubtful } = state;
        const isSole = isSoleRunner && isFingerprint(part);
        const firstMs = isSole ? FIRST_SOLE_PROBE_MS : FIRST_PROBE_MS * this.probeDelayFactor;
        const dueAtMs = changedAtMs + firstMs * PROBE_BACKOFF ** probes;
        return isDoubtful ? Math.min(dueAtMs, this.doubtfulProbeDueAtMs(state, isSole)) : dueAtMs;
    }

    private doubtfulProbeDueAtMs(state: SuspicionState, isSole: boolean): number {
        const delayMs = Math.max(MIN_DOUBTFUL_PROBE_MS, DOUBTFUL_PROBE_MS * state.suspicion.probes);
        const waitedAtMs = state.changedAtMs + delayMs * (isSole ? 1 : this.probeDelayFactor);
        return Math.max(waitedAtMs, this.lastOtherCrashAtMs(state) + CALM_MS);
    }
}

function isQuarantined({ suspicion }: SuspicionState): boolean {
    return suspicion.isQuarantined;
}

function crashedProcesses({ suspicion }: SuspicionState): UpstreamProcessKey[] {
    return suspicion.crashes.map(crashId.processOf);
}
