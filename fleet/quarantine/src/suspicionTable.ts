import type { RequestTraitId } from "@knapweedwood/core.ids/requestTraitId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { BrokenProbe } from "./brokenProbe.js";
import { CrashExposure } from "./crashExposure.js";
import { crashId } from "./crashId.js";
import { CrashIndex } from "./crashIndex.js";
import { isFingerprint } from "./isFingerprint.js";
import type { Suspicion } from "./suspicion.js";
import { suspicionKeyOf } from "./suspicionKeyOf.js";
import type { SuspicionState } from "./suspicionState.js";

type SuspicionProbing = Pick<
    SuspicionState,
    "quarantinedAtMs" | "probedAtMs" | "clearedAtMs" | "brokenProbe" | "isUnverified"
>;

/** What is known of the probes of a trait that is not quarantined. */
const NOT_PROBED: SuspicionProbing = {
    quarantinedAtMs: -Infinity,
    probedAtMs: -Infinity,
    clearedAtMs: -Infinity,
    brokenProbe: undefined,
    isUnverified: false,
};

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

/** Keeps the suspicions that this process knows of, and chooses which of them to drop and to repeat to peers. */
export class SuspicionTable {
    readonly crashes = new CrashIndex();
    /** In order of the last change. */
    private readonly states = new Map<string, SuspicionState>();
    /** Suspicions dropped early since the last call of `dropOutdated`. */
    private readonly droppedEarly: Suspicion[] = [];
    /** Position in the suspicions to repeat at which the next repetition begins. */
    private repeatOffset = 0;

    /** Number of suspicions that this process keeps. */
    get size(): number {
        return this.states.size;
    }

    /** Returns all suspicions, shape [suspicions]. */
    all(): SuspicionState[] {
        return [...this.states.values()];
    }

    /** Returns the suspicions of these traits, shape [suspicions]. */
    statesOf(service: ServiceName, parts: readonly RequestTraitId[]): SuspicionState[] {
        return parts.flatMap(part => this.states.get(suspicionKeyOf({ service, part })) ?? []);
    }

    /** Returns the suspicion with a key; undefined if there is none. */
    get(key: string): Suspicion | undefined {
        return this.states.get(key)?.suspicion;
    }

    /** Returns the suspicion of a trait, with no crashes if there is none. */
    of(service: ServiceName, part: RequestTraitId): Suspicion {
        return this.get(suspicionKeyOf({ service, part }))
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

    /** Adds or replaces a suspicion, and returns it. Drops another one early if there are too many. */
    set(suspicion: Suspicion, nowMs: number): Suspicion {
        const key = suspicionKeyOf(suspicion);
        const known = this.states.get(key);
        const isDisproved = known?.suspicion.disproofs !== suspicion.disproofs;
        const exposure = isDisproved ? new CrashExposure() : known.exposure;
        this.states.delete(key);
        if (this.states.size >= MAX_SUSPICIONS) {
            this.dropEarly();
        }
        this.states.set(key, {
            suspicion,
            changedAtMs: nowMs,
            askedAtMs: known?.askedAtMs ?? -Infinity,
            heardAtMs: nowMs,
            exposure,
            ...probingOf(suspicion, known, nowMs),
        });
        this.indexCrashes(key);
        return suspicion;
    }

    /** Records how the last probe of a quarantined trait was broken off. */
    setBrokenProbe(suspicion: Suspicion, brokenProbe: BrokenProbe): void {
        const key = suspicionKeyOf(suspicion);
        this.states.get(key)!.brokenProbe = brokenProbe;
        this.indexCrashes(key);
    }

    /** Whether the upstream that broke off the last probe of a quarantined trait lives on. */
    hasUpstreamSurvivedProbe(
        { suspicion: { withdrawn = [] }, brokenProbe, probedAtMs, clearedAtMs }: SuspicionState,
    ): boolean {
        // A peer doesn't say which of the crashes was that of its probe.
        return brokenProbe === undefined ? clearedAtMs > probedAtMs : withdrawn.includes(brokenProbe.crash);
    }

    /** Whether another trait, of the same request or of one at the same upstream, may have broken off the last probe of a trait. */
    isProbeAmbiguous({ suspicion, brokenProbe }: SuspicionState): boolean {
        if (brokenProbe === undefined) {
            return false;
        }
        const key = suspicionKeyOf(suspicion);
        const others = this.crashes.keysOf(crashId.processOf(brokenProbe.crash)).filter(other => other !== key);
        return brokenProbe.isAmbiguous || others.some(other => this.get(other)?.isQuarantined === true);
    }

    /** Drops the suspicions that are outdated, and returns those dropped since the last call, shape [suspicions]. */
    dropOutdated(nowMs: number): Suspicion[] {
        const outdated = this.all().filter(state => isOutdated(state, nowMs));
        const unneeded = this
            .all()
            .filter(isQuarantinedRequest)
            .sort((left, right) => neededAtMs(right) - neededAtMs(left))
            .slice(MAX_QUARANTINED_REQUESTS);
        const dropped = [...new Set([...outdated, ...unneeded])].map(({ suspicion }) => suspicion);
        dropped.forEach(suspicion => this.delete(suspicion));
        return [...this.droppedEarly.splice(0), ...dropped];
    }

    /**
     * Returns the suspicions that peers may not know yet, quarantines first, at most `MAX_REPEATED`, shape [suspicions].
     * Where there are more, the next call continues with the others.
     */
    toRepeat(nowMs: number): Suspicion[] {
        const states = this.all().filter(state => isToRepeat(state, nowMs));
        const quarantined = this.nextToRepeat(states.filter(isQuarantined), MAX_REPEATED);
        const others = this.nextToRepeat(
            states.filter(state => !isQuarantined(state)),
            MAX_REPEATED - quarantined.length,
        );
        this.repeatOffset += MAX_REPEATED;
        return [...quarantined, ...others].map(state => state.suspicion);
    }

    private indexCrashes(key: string): void {
        const { suspicion: { crashes }, brokenProbe } = this.states.get(key)!;
        const isAdded = brokenProbe?.isCounted === true && !crashes.includes(brokenProbe.crash);
        this.crashes.set(key, isAdded ? [...crashes, brokenProbe.crash] : crashes);
    }

    private nextToRepeat(states: readonly SuspicionState[], count: number): SuspicionState[] {
        const offset = states.length > count ? this.repeatOffset % states.length : 0;
        return [...states.slice(offset), ...states.slice(0, offset)].slice(0, count);
    }

    private delete(suspicion: Suspicion): void {
        const key = suspicionKeyOf(suspicion);
        this.states.delete(key);
        this.crashes.set(key, []);
    }

    /** Drops the oldest suspicion of a single crash, or else the oldest that is no quarantine. */
    private dropEarly(): void {
        const state = this.findFirst(one => !isQuarantined(one) && one.suspicion.crashes.length < 2)
            ?? this.findFirst(one => !isQuarantined(one));
        if (state !== undefined) {
            this.delete(state.suspicion);
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

/** Returns what is known of a quarantine and its probes once its suspicion has changed. */
function probingOf(suspicion: Suspicion, known: SuspicionState | undefined, nowMs: number): SuspicionProbing {
    if (!suspicion.isQuarantined) {
        return NOT_PROBED;
    }
    if (known?.suspicion.isQuarantined !== true) {
        const isUnverified = known === undefined || known.suspicion.crashes.length === 0;
        return { ...NOT_PROBED, quarantinedAtMs: nowMs, isUnverified };
    }
    const { quarantinedAtMs, probedAtMs, brokenProbe, isUnverified } = known;
    if (suspicion.probes > known.suspicion.probes) {
        return { ...NOT_PROBED, quarantinedAtMs, probedAtMs: nowMs };
    }
    const isCleared = (suspicion.withdrawn ?? []).length > (known.suspicion.withdrawn ?? []).length;
    return {
        quarantinedAtMs,
        probedAtMs,
        clearedAtMs: isCleared ? nowMs : known.clearedAtMs,
        brokenProbe,
        isUnverified,
    };
}

function isToRepeat(state: SuspicionState, nowMs: number): boolean {
    return nowMs < state.changedAtMs + REPEAT_MS
        || (isQuarantined(state) && !isFingerprint(state.suspicion.part))
        || (isQuarantined(state) && nowMs < state.askedAtMs + ASKED_REPEAT_MS);
}

function isOutdated(state: SuspicionState, nowMs: number): boolean {
    return isQuarantined(state)
        ? isQuarantinedRequest(state) && nowMs > neededAtMs(state) + REQUEST_RETENTION_MS
        : nowMs > state.changedAtMs + SUSPICION_RETENTION_MS;
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
