import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { PromptPartId } from "@knapweedwood/core.ids/promptPartId";
import type { RequestFingerprint } from "@knapweedwood/core.ids/requestFingerprint";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import { upstreamProcessKeyOf } from "@knapweedwood/fleet.view/upstreamProcessKeyOf";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { SimulatedNetwork } from "@knapweedwood/standins.network/simulatedNetwork";
import { RequestQuarantine } from "../src/requestQuarantine.js";
import type { Suspicion } from "../src/suspicion.js";
import { SuspicionExchange } from "../src/suspicionExchange.js";
import { SimulatedUpstreams } from "./simulatedUpstreams.js";

const SERVICE = "s" as ServiceName;
const FIRST = "first" as PromptPartId;
const BAD = "bad" as PromptPartId;
const CRASH_AFTER_MS = 60;
const SOUND_RUN_MS = 40;
const STORE_DELAY_MS = 30;
/** Time after the start of an upstream at which its entry replaces that of the process before, in milliseconds. */
const ENTRY_DELAY_MS = 500;
const WITHDRAW_INTERVAL_MS = 500;
const UPSTREAMS = 3;
/** Time in which processes that are not cut off learn of a success, in milliseconds. */
const CONTACT_MS = 3000;
/** Number of crashes under a sound request from which on it can not be told from one that crashes upstreams. */
const CONVICTING_CRASHES = 3;
/** Longest run of a sound request that comes again, in milliseconds. */
const MAX_SOUND_RUN_MS = 300;

type SimulatedUpstream = NonNullable<ReturnType<SimulatedUpstreams["choose"]>>;

interface SimulatedProcess {
    quarantine: RequestQuarantine;
    exchange: SuspicionExchange;
    /** Time of the last start or change of its connection to the others, in milliseconds. */
    disturbedAtMs: number;
    isCut: boolean;
    /** What it knows of the upstreams while it is cut off from the key-value service; undefined while it isn't. */
    lastListing: Listing | undefined;
}

/** Entries of upstreams, and the time up to which they are current. */
interface Listing {
    entries: Map<UpstreamId, Upstream>;
    atMs: number;
}

/** A request that comes again with the same fingerprint, and what became of it. */
interface RecurringRequest {
    fingerprint: RequestFingerprint;
    isBad: boolean;
    /** Times at which it was broken off since it last succeeded, in milliseconds, shape [crashes]. */
    cutAtMs: number[];
    hasSucceeded: boolean;
    /** Number of its runs in progress. */
    runs: number;
    /** Time until which processes may take it for one that crashes upstreams, in milliseconds. */
    suspectUntilMs: number;
    rejections: number;
    /** Rejections by undisturbed processes while it could be told from a request that crashes upstreams. */
    unfoundedRejections: number;
    /** Number of its next runs that upstreams break off though they live on. */
    runsToBreakOff: number;
    /** The upstreams that broke it off, as its processes knew them, shape [crashes]. */
    cutBy: Upstream[];
}

type Attempts = { request: RecurringRequest; index: number; excluded: Set<SimulatedUpstream>; };

/** Processes that share suspicions over a simulated network, and their requests: some crash their upstreams. */
export class SimulatedQuarantineFleet {
    readonly clock = new ManualClock();
    readonly network: SimulatedNetwork;
    /** Times at which upstreams crashed, in milliseconds, shape [crashes]. */
    readonly crashesAtMs: number[] = [];
    /** Beginnings of the runs that crash their upstreams, shape [runs]. */
    readonly badRuns: { atMs: number; undisturbedMs: number; }[] = [];
    /** Whether processes reach the key-value service. */
    hasStore = true;
    /** Number of upstreams to which a request that comes again is sent for one arrival. */
    maxAttempts = 3;
    /** Number of sound requests that were rejected. */
    soundRejections = 0;
    /** Share of the runs that upstreams break off though they live on. */
    breakOffShare = 0;
    private readonly upstreams: SimulatedUpstreams;
    /** The entries of the upstreams in the key-value service. */
    private readonly listed = new Map<UpstreamId, Upstream>();
    private readonly random: SeededRandom;
    private readonly processes: SimulatedProcess[];
    /** What is in the key-value service, which processes reach that are cut off from each other. */
    private stored: Suspicion[] = [];

    constructor(opts: { processes: number; seed: number; }) {
        this.random = new SeededRandom(opts.seed);
        this.network = new SimulatedNetwork({ clock: this.clock, random: this.random });
        this.upstreams = new SimulatedUpstreams({
            clock: this.clock,
            random: this.random,
            count: UPSTREAMS,
            onStarted: entry => this.list(entry),
        });
        this.processes = Array.from({ length: opts.processes }, (_, index) => this.createProcess(index));
    }

    restart(index: number): void {
        this.processes[index]!.exchange.close();
        const { isCut, lastListing } = this.processes[index]!;
        this.processes[index] = { ...this.createProcess(index), isCut, lastListing };
    }

    setCut(index: number, isCut: boolean): void {
        this.network.down[isCut ? "add" : "delete"](String(index));
        Object.assign(this.processes[index]!, { isCut, disturbedAtMs: this.clock.nowMs() });
    }

    /** Cuts a process off from the key-value service, or ends that. */
    setCutFromStore(index: number, isCut: boolean): void {
        const lastListing = isCut ? { entries: new Map(this.listed), atMs: this.clock.nowMs() } : undefined;
        Object.assign(this.processes[index]!, { lastListing, disturbedAtMs: this.clock.nowMs() });
        if (!isCut) {
            this.processes[index]!.quarantine.merge(this.stored);
        }
    }

    /** Sends a request with the bad part; its upstream crashes unless it is rejected. */
    sendBad(index: number): void {
        const { quarantine, disturbedAtMs, isCut } = this.processes[index]!;
        if (quarantine.blockedForMs(SERVICE, [FIRST, BAD]) > 0) {
            return;
        }
        const atMs = this.clock.nowMs();
        const run = quarantine.begin(SERVICE, [FIRST, BAD]);
        const upstream = { id: `u-${this.badRuns.length}`, startedAtMs: 1 } as Upstream;
        this.badRuns.push({ atMs, undisturbedMs: isCut ? 0 : atMs - disturbedAtMs });
        this.clock.setTimer(CRASH_AFTER_MS, () => {
            this.crashesAtMs.push(this.clock.nowMs());
            if (this.isRunning(index, quarantine)) {
                quarantine.onCrash(run, upstream);
            }
        });
    }

    /** Sends a sound request with the same first part, which breaks off if an upstream of its own crashes. */
    sendSound(index: number, isBroken: boolean): void {
        const { quarantine } = this.processes[index]!;
        if (quarantine.blockedForMs(SERVICE, [FIRST]) > 0) {
            this.soundRejections += 1;
            return;
        }
        const run = quarantine.begin(SERVICE, [FIRST]);
        const upstream = { id: `sound-${index}-${this.clock.nowMs()}`, startedAtMs: 1 } as Upstream;
        this.clock.setTimer(SOUND_RUN_MS, () => {
            if (!this.isRunning(index, quarantine)) {
                return;
            }
            if (isBroken) {
                quarantine.onCrash(run, upstream);
                return;
            }
            quarantine.onSuccess(run, upstream);
        });
    }

    /** Returns a request without prompt parts for `arrive`. */
    createRequest(name: string, isBad: boolean): RecurringRequest {
        const fingerprint = `request:${name}` as RequestFingerprint;
        return {
            fingerprint,
            isBad,
            cutAtMs: [],
            hasSucceeded: false,
            runs: 0,
            suspectUntilMs: 0,
            rejections: 0,
            unfoundedRejections: 0,
            runsToBreakOff: 0,
            cutBy: [],
        };
    }

    /** Sends a request to a process, which repeats it at other upstreams like a gateway. */
    arrive(index: number, request: RecurringRequest): void {
        this.attempt({ request, index, excluded: new Set() });
    }

    /** Number of requests and parts of prompts of which the key-value service has an entry. */
    get storedCount(): number {
        return new Set(this.stored.map(({ part }) => part)).size;
    }

    /** Whether every process rejects a request. */
    isBlocked({ fingerprint }: RecurringRequest): boolean {
        return this.processes.every(({ quarantine }) => quarantine.blockedForMs(SERVICE, [fingerprint]) > 0);
    }

    /** Whether any process rejects a request. */
    isBlockedAnywhere({ fingerprint }: RecurringRequest): boolean {
        return this.processes.some(({ quarantine }) => quarantine.blockedForMs(SERVICE, [fingerprint]) > 0);
    }

    /** Number of upstream processes that broke a request off and run no longer. */
    endedUpstreams({ cutBy }: RecurringRequest): number {
        return new Set(cutBy.filter(entry => !this.upstreams.isRunning(entry)).map(upstreamProcessKeyOf)).size;
    }

    /** Breaks off all runs at one of the upstreams, which takes some time to come back. */
    crashUpstream(): void {
        const upstream = this.upstreams.choose(new Set());
        if (upstream !== undefined) {
            this.upstreams.crash(upstream);
        }
    }

    private attempt(attempts: Attempts): void {
        const { request, index, excluded } = attempts;
        const { quarantine } = this.processes[index]!;
        if (quarantine.blockedForMs(SERVICE, [request.fingerprint]) > 0) {
            this.onRejected(attempts);
            return;
        }
        const upstream = excluded.size < this.maxAttempts ? this.upstreams.choose(excluded) : undefined;
        if (upstream === undefined) {
            return;
        }
        excluded.add(upstream);
        this.run(attempts, upstream);
    }

    private run(attempts: Attempts, upstream: SimulatedUpstream): void {
        const { request, index } = attempts;
        const { quarantine } = this.processes[index]!;
        const run = quarantine.begin(SERVICE, [request.fingerprint]);
        const entry = this.listingOf(index).entries.get(upstream.entry.id) ?? upstream.entry;
        request.runs += 1;
        const isBrokenOff = request.runsToBreakOff > 0
            || (this.breakOffShare > 0 && this.random.next() < this.breakOffShare);
        request.runsToBreakOff = Math.max(0, request.runsToBreakOff - 1);
        if (request.isBad) {
            this.badRuns.push({ atMs: this.clock.nowMs(), undisturbedMs: this.undisturbedMs(index) });
        }
        const end = this.clock.setTimer(request.isBad ? CRASH_AFTER_MS : this.random.next() * MAX_SOUND_RUN_MS, () => {
            upstream.runs.delete(cut);
            if (request.isBad) {
                this.crashesAtMs.push(this.clock.nowMs());
                this.upstreams.crash(upstream);
                cut();
                return;
            }
            if (isBrokenOff) {
                cut();
                return;
            }
            Object.assign(request, { cutAtMs: [], hasSucceeded: true, runs: request.runs - 1 });
            if (this.undisturbedMs(index) >= CONTACT_MS) {
                request.suspectUntilMs = Math.min(request.suspectUntilMs, this.clock.nowMs() + CONTACT_MS);
            }
            if (this.isRunning(index, quarantine)) {
                quarantine.onSuccess(run, entry);
            }
        });
        const cut = () => {
            end.cancel();
            request.runs -= 1;
            request.cutAtMs.push(this.clock.nowMs());
            request.cutBy.push(entry);
            request.suspectUntilMs = request.cutAtMs.length < CONVICTING_CRASHES ? request.suspectUntilMs : Infinity;
            if (this.isRunning(index, quarantine)) {
                quarantine.onCrash(run, entry);
                this.attempt(attempts);
            }
        };
        upstream.runs.add(cut);
    }

    private onRejected({ request, index }: Attempts): void {
        request.rejections += 1;
        if (this.undisturbedMs(index) > 0 && this.clock.nowMs() > request.suspectUntilMs) {
            request.unfoundedRejections += 1;
        }
    }

    private undisturbedMs(index: number): number {
        const { disturbedAtMs, isCut, lastListing } = this.processes[index]!;
        return isCut || lastListing !== undefined ? 0 : this.clock.nowMs() - disturbedAtMs;
    }

    /** Whether every process rejects requests with the bad part. */
    isBadPartBlocked(): boolean {
        return this.processes.every(({ quarantine }) => quarantine.blockedForMs(SERVICE, [BAD]) > 0);
    }

    /** Whether a process has not been restarted since. */
    private isRunning(index: number, quarantine: RequestQuarantine): boolean {
        return this.processes[index]!.quarantine === quarantine;
    }

    private store(suspicion: Suspicion): void {
        if (!this.hasStore) {
            return;
        }
        this.clock.setTimer(STORE_DELAY_MS, () => {
            this.stored.push(suspicion);
            this.processes
                .filter(({ lastListing }) => lastListing === undefined)
                .forEach(({ quarantine }) => quarantine.merge([suspicion]));
        });
    }

    private list(entry: Upstream): void {
        this.clock.setTimer(this.listed.has(entry.id) ? ENTRY_DELAY_MS : 0, () => this.listed.set(entry.id, entry));
    }

    private listingOf(index: number): Listing {
        return this.processes[index]!.lastListing ?? { entries: this.listed, atMs: this.clock.nowMs() };
    }

    /** Withdraws crashes again and again, like a running process. */
    private keepWithdrawing(index: number, quarantine: RequestQuarantine): void {
        this.clock.setTimer(WITHDRAW_INTERVAL_MS, () => {
            if (this.isRunning(index, quarantine)) {
                quarantine.withdrawCrashes();
                this.keepWithdrawing(index, quarantine);
            }
        });
    }

    private createProcess(index: number): SimulatedProcess {
        const { clock, random } = this;
        const host = String(index);
        const quarantine: RequestQuarantine = new RequestQuarantine({
            clock,
            random,
            logger: silentLogger,
            publish: changed => exchange.publish(changed),
            upstreamCount: () => UPSTREAMS,
            store: suspicion => this.store(suspicion),
            remove: ({ part }) => {
                this.stored = this.stored.filter(suspicion => suspicion.part !== part);
            },
            listedAtMs: ({ id, startedAtMs }) => {
                const { entries, atMs } = this.listingOf(index);
                return entries.get(id)?.startedAtMs === startedAtMs ? atMs : -Infinity;
            },
            onChanged: () => undefined,
        });
        this.keepWithdrawing(index, quarantine);
        const exchange: SuspicionExchange = new SuspicionExchange({
            clock,
            random,
            logger: silentLogger,
            channel: this.network.channelOf(host),
            peers: () => this.processes.flatMap((_, peer) => peer === index ? [] : [{ host: String(peer), port: 1 }]),
            toRepeat: () => quarantine.toRepeat(),
            onReceived: suspicions => quarantine.merge(suspicions),
        });
        void exchange.listen();
        quarantine.merge(this.stored);
        return { quarantine, exchange, disturbedAtMs: clock.nowMs(), isCut: false, lastListing: undefined };
    }
}
