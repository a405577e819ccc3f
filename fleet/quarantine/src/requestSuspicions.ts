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

interface SuspicionState {
    suspicion: Suspicion;
    changedAtMs: number;
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
    private readonly states = new Map<string, SuspicionState>();
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
        // One request may have crashed them all by its repeats. That doesn't clear a part that other requests bear.
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
        return received.flatMap(suspicion => this.mergeOne(suspicion, nowMs)).map(merged => this.review(merged, nowMs));
    }

    /** Returns the time for which requests with these traits must not run, in milliseconds; 0 if they may run now. */
    blockedForMs(service: ServiceName, traits: readonly RequestTraitId[], nowMs: number): number {
        const waitsMs = this.statesOf(service, traits)
            .filter(isQuarantined)
            .map(state => this.probeDueAtMs(state) - nowMs);
        return Math.max(0, ...waitsMs);
    }

    /** Returns the suspicions that peers may not know yet, shape [suspicions]. Drops those that are outdated. */
    toRepeat(nowMs: number): Suspicion[] {
        [...this.states]
            .filter(([, state]) => !isQuarantined(state) && nowMs > state.changedAtMs + SUSPICION_RETENTION_MS)
            .forEach(([key]) => this.states.delete(key));
        return [...this.states.values()]
            .filter(state => isQuarantined(state) || nowMs < state.changedAtMs + REPEAT_MS)
            .map(state => state.suspicion);
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
        this.states.set(keyOf(suspicion.service, suspicion.part), { suspicion, changedAtMs: nowMs });
        return suspicion;
    }
}

function isQuarantined({ suspicion }: SuspicionState): boolean {
    return suspicion.isQuarantined;
}

function keyOf(service: ServiceName, part: RequestTraitId): string {
    return `${service} ${part}`;
}
