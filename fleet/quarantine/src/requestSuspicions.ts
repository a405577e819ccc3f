import type { RequestTraitId } from "@knapweedwood/core.ids/requestTraitId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamProcessKey } from "@knapweedwood/core.ids/upstreamProcessKey";
import type { Random } from "@knapweedwood/core.random/random";
import { CrashHistory } from "./crashHistory.js";
import { crashId } from "./crashId.js";
import { isFingerprint } from "./isFingerprint.js";
import { mergeSuspicions } from "./mergeSuspicions.js";
import { poissonTail } from "./poissonTail.js";
import { ProbeSchedule } from "./probeSchedule.js";
import { QuarantineDoubt } from "./quarantineDoubt.js";
import type { QuarantineEvidence } from "./quarantineEvidence.js";
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
/**
 * Probability of as many crashes by coincidence, from which on they convict nothing. Many requests are cut by each crash, so
 * that it has to be small.
 */
const COINCIDENCE_PROBABILITY = 0.001;
/**
 * Time by which a request probes a part of prompts later for each crash under the request itself, in milliseconds. Others with the
 * part tell more: they are sound if only the request is the cause.
 */
const PROBE_PREFERENCE_MS = 1000;
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
 * be expected in the time of the runs that they broke off, the crashes convict nothing. `QuarantineDoubt` tells which quarantines
 * may be wrong by what became known since, and `ProbeSchedule` when they are tested. A probe is a run with a quarantined trait.
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
    private readonly doubt: QuarantineDoubt;
    private readonly probeSchedule: ProbeSchedule;
    private readonly opts: RequestSuspicionsOptions;

    constructor(opts: RequestSuspicionsOptions) {
        this.opts = opts;
        this.doubt = new QuarantineDoubt({ history: this.crashHistory, upstreamCount: opts.upstreamCount });
        this.probeSchedule = new ProbeSchedule({ random: opts.random, doubt: this.doubt, table: this.table });
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
        return probed.map(({ suspicion }) => this.table.set({ ...suspicion, probes: suspicion.probes + 1 }, nowMs));
    }

    /** Records that an upstream process broke off a run. Returns the changed suspicions, shape [suspicions]. */
    onCrash(run: RequestRun, process: UpstreamProcessKey, nowMs: number): Suspicion[] {
        this.crashHistory.recordOwn(run.service, process, nowMs);
        return [...this.countProbe(run, process, nowMs), ...this.count(run, process, nowMs)];
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
            this.crashHistory.withdraw(known.service, process);
            const merged = mergeSuspicions(known, { ...known, crashes: [], withdrawn: [crash] });
            return merged === known ? [] : [this.liftIfUnfounded(this.table.set(merged, nowMs), nowMs)];
        });
    }

    /** Merges suspicions of another process. Returns those that were news, shape [suspicions]. */
    merge(received: readonly Suspicion[], nowMs: number): Suspicion[] {
        received.forEach(suspicion => this.learnCrashes(suspicion, nowMs));
        const changed = received.flatMap(suspicion => this.mergeOne(suspicion, nowMs));
        received.filter(suspicion => suspicion.isQuarantined).forEach(({ service, part }) =>
            this.table.statesOf(service, [part]).forEach(state => {
                state.heardAtMs = nowMs;
            })
        );
        return changed.map(merged => this.review(merged, nowMs));
    }

    /** Records that an upstream process is no longer listed, though it hadn't said that it leaves. */
    onEnded(service: ServiceName, process: UpstreamProcessKey, nowMs: number): void {
        this.crashHistory.recordLearned(service, process, nowMs);
    }

    /** Returns what a quarantine of a suspicion follows from, for logs. */
    evidence({ service, part }: Suspicion, nowMs: number): QuarantineEvidence {
        const [state] = this.table.statesOf(service, [part]);
        return state === undefined ? { isDoubtful: false, otherCrashes: 0 } : this.doubt.evidence(state, nowMs);
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
        const ownDelayMs = PROBE_PREFERENCE_MS * this.ownCrashes(service, traits);
        return Math.max(
            0,
            ...blocking.map(state => this.probeSchedule.dueAtMs(state, isSoleRunner) + ownDelayMs - nowMs),
        );
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

    /**
     * Counts a crash against the last quarantined trait of a run, which was a probe. That says nothing of the others. Returns the
     * changed suspicions, shape [suspicions].
     */
    private countProbe(
        { service, traits, startedAtMs }: RequestRun,
        process: UpstreamProcessKey,
        nowMs: number,
    ): Suspicion[] {
        const probed = traits.filter(({ trait }) => this.table.of(service, trait).isQuarantined);
        const last = probed.at(-1);
        if (last === undefined) {
            return [];
        }
        this.crashHistory.recordProbe(service, process);
        const isRequestSuspect = this.ownCrashes(service, traits.map(({ trait }) => trait)) > 0;
        const known = this.table.of(service, last.trait);
        const crash = crashId.of(process, known.withdrawn ?? []);
        const changed = known.disproofs === last.disproofs
            ? this.mergeOne({ ...known, crashes: [crash], rounds: last.rounds + 1 }, nowMs)
            : [];
        this.table.statesOf(service, probed.map(({ trait }) => trait)).forEach(({ suspicion, exposure }) => {
            const isCounted = suspicion.part === last.trait;
            const isAmbiguous = !isCounted || isRequestSuspect;
            this.table.setBrokenProbe(suspicion, { crash, isCounted, isAmbiguous, jitter: this.opts.random.next() });
            if (isCounted) {
                exposure.add(process, nowMs - startedAtMs);
            }
        });
        return changed;
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

    /** Returns the number of crashes under a request itself while it is not quarantined; 0 if it can't be recognised. */
    private ownCrashes(service: ServiceName, traits: readonly RequestTraitId[]): number {
        const [own] = this.table.statesOf(service, traits.filter(isFingerprint));
        return own === undefined || isQuarantined(own) ? 0 : own.suspicion.crashes.length;
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

    /**
     * Records the crashes that a suspicion of another process tells of. Of a quarantine that is news as a whole it isn't known
     * when they were.
     */
    private learnCrashes(received: Suspicion, nowMs: number): void {
        const { service, part } = received;
        const known = this.table.of(service, part);
        const { withdrawn = [] } = known;
        received.withdrawn?.map(crashId.processOf).forEach(process => this.crashHistory.withdraw(service, process));
        if (received.isQuarantined && known.crashes.length === 0) {
            return;
        }
        received.crashes.filter(crash => !known.crashes.includes(crash) && !withdrawn.includes(crash))
            .map(crashId.processOf)
            .forEach(process => {
                this.crashHistory.recordLearned(service, process, nowMs);
                if (known.isQuarantined) {
                    this.crashHistory.recordProbe(service, process);
                }
            });
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
        const needed = suspicion.hasSucceeded ? CONVICTION_AFTER_SUCCESS : CONVICTION;
        const isUnfounded = isInForce && withdrawn.length > 0 && crashes.length < needed.crashes;
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
}

function isQuarantined({ suspicion }: SuspicionState): boolean {
    return suspicion.isQuarantined;
}
