import type { RequestTraitId } from "@knapweedwood/core.ids/requestTraitId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamProcessKey } from "@knapweedwood/core.ids/upstreamProcessKey";
import { isFingerprint } from "./isFingerprint.js";
import { mergeSuspicions } from "./mergeSuspicions.js";
import { RecentSuccesses } from "./recentSuccesses.js";
import type { RequestRun } from "./requestRun.js";
import type { Suspicion } from "./suspicion.js";

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
/** Factor by which the time to the next probe grows with each probe. */
const PROBE_BACKOFF = 4;
/** Longest additional time to a probe of a process, as a share, so that not all processes probe at once. */
const PROBE_JITTER = 1;
/** Time for which a suspicion that is no quarantine is kept without a change, in milliseconds. */
const SUSPICION_RETENTION_MS = 600_000;
/** Time for which a change is repeated to peers, in milliseconds. It outlasts lost messages and restarts. */
const REPEAT_MS = 10_000;

/** Time for which the quarantine of a request is kept that no process is asked for, in milliseconds. */
const REQUEST_RETENTION_MS = 600_000;
/** Time after a request with a quarantined fingerprint in which this process repeats the quarantine, in milliseconds. */
const ASKED_REPEAT_MS = 60_000;
/** Number of suspicions above which those that are no quarantine are dropped early, the oldest first. */
const MAX_SUSPICIONS = 2000;
/** Number of quarantined requests above which those are dropped that were not asked for the longest. */
const MAX_QUARANTINED_REQUESTS = 500;
/** Number of suspicions in one repetition, which bounds the datagrams after a crash of many upstreams. */
const MAX_REPEATED = 60;

interface SuspicionState {
    suspicion: Suspicion;
    changedAtMs: number;
    /** Time at which this process last rejected a request because of it, in milliseconds. */
    askedAtMs: number;
    /** Time at which this process last heard of it, in milliseconds. */
    heardAtMs: number;
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
 * Suspicions are merged in any order, also repeatedly: a later disproof counts for more than crashes, and crashes add up.
 * Processes therefore agree without clocks or a leader, and restarted or late ones catch up.
 *
 * Load pattern: requests with one part come at any gateway, no two alike, among sound ones with the same other parts;
 * or one request comes again and again, among sound ones that are cut along with it.
 */
export class RequestSuspicions {
    /** In order of the last change. */
    private readonly states = new Map<string, SuspicionState>();
    /** Suspicions dropped early since the last call of `dropOutdated`. */
    private droppedEarly: Suspicion[] = [];
    /** Position in the suspicions to repeat at which the next repetition begins. */
    private repeatOffset = 0;
    /** Successes of services and of parts of prompts. */
    private readonly successes = new RecentSuccesses();
    /** Those of single requests, apart, as they are many and would displace the others. */
    private readonly requestSuccesses = new RecentSuccesses();
    private readonly probeDelayFactor: number;

    /** @param opts.jitter number between 0 and 1 that differs between processes */
    constructor(opts: { jitter: number; }) {
        this.probeDelayFactor = 1 + opts.jitter * PROBE_JITTER;
    }

    /** Returns what is known of the traits of a run that begins. */
    observe(service: ServiceName, traits: readonly RequestTraitId[]): RequestRun {
        return {
            service,
            traits: traits.map(trait => {
                const { disproofs, rounds } = this.suspicionOf(service, trait);
                return { trait, disproofs, rounds };
            }),
        };
    }

    /**
     * Records that a run begins, which is a probe if one of its traits is quarantined. Returns the changed suspicions, shape
     * [suspicions].
     */
    onBegun({ service, traits }: RequestRun, nowMs: number): Suspicion[] {
        return this.statesOf(service, traits.map(({ trait }) => trait))
            .filter(isQuarantined)
            .map(({ suspicion }) => this.set({ ...suspicion, probes: suspicion.probes + 1 }, nowMs));
    }

    /** Records that an upstream process broke off a run. Returns the changed suspicions, shape [suspicions]. */
    onCrash(run: RequestRun, process: UpstreamProcessKey, nowMs: number): Suspicion[] {
        const explained = run.traits.findLastIndex(({ trait }) => this.suspicionOf(run.service, trait).isQuarantined);
        const struck = run.traits.slice(explained + 1).flatMap(({ trait, disproofs, rounds }) => {
            const known = this.suspicionOf(run.service, trait);
            const crash = { ...known, crashes: [process], rounds: rounds + 1 };
            return known.disproofs === disproofs ? this.mergeOne(crash, nowMs) : [];
        });
        const culprit = struck.filter(suspicion => this.isConvicted(suspicion, nowMs)).at(-1);
        if (culprit === undefined) {
            return struck;
        }
        const others = struck.filter(suspicion => suspicion !== culprit);
        // One request may have crashed them all by its repeats. That doesn't clear a part that other requests have too.
        const isCleared = !isFingerprint(culprit.part);
        return [
            this.set({ ...culprit, isQuarantined: true }, nowMs),
            ...isCleared ? others.map(suspicion => this.disprove(suspicion, nowMs)) : others,
        ];
    }

    /** Records a complete response to a run. Returns the changed suspicions, shape [suspicions]. */
    onSuccess({ service, traits }: RequestRun, nowMs: number): Suspicion[] {
        this.successes.add(service, nowMs);
        traits.forEach(({ trait }) => this.successesOf(trait).add(keyOf(service, trait), nowMs));
        return traits
            .map(({ trait }) => this.suspicionOf(service, trait))
            .filter(known => known.crashes.length > 0)
            .map(known => this.disprove({ ...known, hasSucceeded: true }, nowMs));
    }

    /** Merges suspicions of another process. Returns those that were news, shape [suspicions]. */
    merge(received: readonly Suspicion[], nowMs: number): Suspicion[] {
        const changed = received.flatMap(suspicion => this.mergeOne(suspicion, nowMs));
        received.filter(suspicion => suspicion.isQuarantined).forEach(({ service, part }) =>
            this.statesOf(service, [part]).forEach(state => {
                state.heardAtMs = nowMs;
            })
        );
        return changed.map(merged => this.review(merged, nowMs));
    }

    /** Returns the time for which requests with these traits must not run, in milliseconds; 0 if they may run now. */
    blockedForMs(service: ServiceName, traits: readonly RequestTraitId[], nowMs: number): number {
        const blocking = this.statesOf(service, traits).filter(isQuarantined);
        blocking.forEach(state => {
            state.askedAtMs = nowMs;
        });
        return Math.max(0, ...blocking.map(state => this.probeDueAtMs(state) - nowMs));
    }

    /** Number of suspicions that this process keeps. */
    get size(): number {
        return this.states.size;
    }

    /** Drops the suspicions that are outdated, and returns those dropped since the last call, shape [suspicions]. */
    dropOutdated(nowMs: number): Suspicion[] {
        const outdated = [...this.states.values()].filter(state => this.isOutdated(state, nowMs));
        const unneeded = [...this.states.values()]
            .filter(isQuarantinedRequest)
            .sort((left, right) => neededAtMs(right) - neededAtMs(left))
            .slice(MAX_QUARANTINED_REQUESTS);
        const dropped = [...new Set([...outdated, ...unneeded])].map(({ suspicion }) => suspicion);
        dropped.forEach(({ service, part }) => this.states.delete(keyOf(service, part)));
        return [...this.droppedEarly.splice(0), ...dropped];
    }

    /**
     * Returns the suspicions that peers may not know yet, quarantines first, at most `MAX_REPEATED`, shape [suspicions].
     * Where there are more, the next call continues with the others.
     */
    toRepeat(nowMs: number): Suspicion[] {
        const states = [...this.states.values()].filter(state => this.isToRepeat(state, nowMs));
        const quarantined = this.nextToRepeat(states.filter(isQuarantined), MAX_REPEATED);
        const others = this.nextToRepeat(
            states.filter(state => !isQuarantined(state)),
            MAX_REPEATED - quarantined.length,
        );
        this.repeatOffset += MAX_REPEATED;
        return [...quarantined, ...others].map(state => state.suspicion);
    }

    private isToRepeat(state: SuspicionState, nowMs: number): boolean {
        return nowMs < state.changedAtMs + REPEAT_MS
            || (isQuarantined(state) && !isFingerprint(state.suspicion.part))
            || (isQuarantined(state) && nowMs < state.askedAtMs + ASKED_REPEAT_MS);
    }

    private nextToRepeat(states: readonly SuspicionState[], count: number): SuspicionState[] {
        const offset = states.length > count ? this.repeatOffset % states.length : 0;
        return [...states.slice(offset), ...states.slice(0, offset)].slice(0, count);
    }

    private isOutdated(state: SuspicionState, nowMs: number): boolean {
        return isQuarantined(state)
            ? isQuarantinedRequest(state) && nowMs > neededAtMs(state) + REQUEST_RETENTION_MS
            : nowMs > state.changedAtMs + SUSPICION_RETENTION_MS;
    }

    private mergeOne(received: Suspicion, nowMs: number): Suspicion[] {
        const known = this.suspicionOf(received.service, received.part);
        const hasSucceeded = received.hasSucceeded || this.hasSucceeded(received);
        const merged = mergeSuspicions(known, { ...received, hasSucceeded });
        return merged === known ? [] : [this.set(merged, nowMs)];
    }

    private isConvicted(suspicion: Suspicion, nowMs: number): boolean {
        const { service, part, crashes, rounds, hasSucceeded } = suspicion;
        // Where no request succeeds at all, the service is failing and not what a request has in common with others.
        if (crashes.length < CONVICTION.crashes || !this.successes.has(service)) {
            return false;
        }
        const isDoubtful = hasSucceeded || (isFingerprint(part) && this.isFailingBroadly(service, nowMs));
        const needed = isDoubtful ? CONVICTION_AFTER_SUCCESS : CONVICTION;
        return crashes.length >= needed.crashes && rounds >= needed.rounds;
    }

    /**
     * Lifts a quarantine by a process that didn't know of a success, unless its reasons are enough nevertheless. Convicts a
     * request of which several processes have seen the crashes, or one that knows of no success of the service.
     */
    private review(merged: Suspicion, nowMs: number): Suspicion {
        if (merged.isQuarantined) {
            const isDoubtful = merged.probes === 0 && this.hasSucceeded(merged) && !this.isConvicted(merged, nowMs);
            return isDoubtful
                ? this.set({ ...merged, disproofs: merged.disproofs + 1, isQuarantined: false }, nowMs)
                : merged;
        }
        return isFingerprint(merged.part) && this.isConvicted(merged, nowMs)
            ? this.set({ ...merged, isQuarantined: true }, nowMs)
            : merged;
    }

    private hasSucceeded({ service, part }: Suspicion): boolean {
        return this.successesOf(part).has(keyOf(service, part));
    }

    private successesOf(trait: RequestTraitId): RecentSuccesses {
        return isFingerprint(trait) ? this.requestSuccesses : this.successes;
    }

    /** Whether so many requests have been broken off repeatedly a short time ago that the network may be the cause. */
    private isFailingBroadly(service: ServiceName, nowMs: number): boolean {
        const repeatedlyCut = [...this.states.values()].filter(({ suspicion, changedAtMs }) =>
            suspicion.service === service && isFingerprint(suspicion.part) && !suspicion.isQuarantined
            && suspicion.crashes.length > 1 && nowMs < changedAtMs + BROAD_FAILURE_MS
        );
        return repeatedlyCut.length > MAX_REQUESTS_CUT_REPEATEDLY;
    }

    private disprove(suspicion: Suspicion, nowMs: number): Suspicion {
        const disproofs = suspicion.disproofs + 1;
        return this.set({ ...suspicion, disproofs, crashes: [], rounds: 0, isQuarantined: false, probes: 0 }, nowMs);
    }

    private probeDueAtMs({ suspicion, changedAtMs }: SuspicionState): number {
        return changedAtMs + FIRST_PROBE_MS * PROBE_BACKOFF ** suspicion.probes * this.probeDelayFactor;
    }

    private statesOf(service: ServiceName, parts: readonly RequestTraitId[]): SuspicionState[] {
        return parts.flatMap(part => this.states.get(keyOf(service, part)) ?? []);
    }

    private suspicionOf(service: ServiceName, part: RequestTraitId): Suspicion {
        return this.states.get(keyOf(service, part))?.suspicion
            ?? {
                service,
                part,
                disproofs: 0,
                crashes: [],
                rounds: 0,
                hasSucceeded: false,
                isQuarantined: false,
                probes: 0,
            };
    }

    private set(suspicion: Suspicion, nowMs: number): Suspicion {
        const key = keyOf(suspicion.service, suspicion.part);
        const askedAtMs = this.states.get(key)?.askedAtMs ?? -Infinity;
        this.states.delete(key);
        if (this.states.size >= MAX_SUSPICIONS) {
            this.dropEarly();
        }
        this.states.set(key, { suspicion, changedAtMs: nowMs, askedAtMs, heardAtMs: nowMs });
        return suspicion;
    }

    /** Drops the oldest suspicion of a single crash, or else the oldest that is no quarantine. */
    private dropEarly(): void {
        const state = this.findFirst(one => !isQuarantined(one) && one.suspicion.crashes.length < 2)
            ?? this.findFirst(one => !isQuarantined(one));
        if (state !== undefined) {
            this.states.delete(keyOf(state.suspicion.service, state.suspicion.part));
            this.droppedEarly.push(state.suspicion);
        }
    }

    private findFirst(matches: (state: SuspicionState) => boolean): SuspicionState | undefined {
        // Stops at the first match, which mostly is the first state, where copying all of them would take long.
        for (const state of this.states.values()) {
            if (matches(state)) {
                return state;
            }
        }
        return undefined;
    }
}

function isQuarantinedRequest(state: SuspicionState): boolean {
    return isQuarantined(state) && isFingerprint(state.suspicion.part);
}

function neededAtMs({ askedAtMs, heardAtMs }: SuspicionState): number {
    return Math.max(askedAtMs, heardAtMs);
}

function isQuarantined({ suspicion }: SuspicionState): boolean {
    return suspicion.isQuarantined;
}

function keyOf(service: ServiceName, part: RequestTraitId): string {
    return `${service} ${part}`;
}
