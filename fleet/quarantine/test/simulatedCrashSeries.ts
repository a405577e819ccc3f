import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { RequestFingerprint } from "@knapweedwood/core.ids/requestFingerprint";
import type { RequestTraitId } from "@knapweedwood/core.ids/requestTraitId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { RequestQuarantine } from "../src/requestQuarantine.js";
import type { CrashSeriesOptions } from "./crashSeriesOptions.js";
import { SimulatedUpstreams } from "./simulatedUpstreams.js";

const SERVICE = "s" as ServiceName;
const UPSTREAMS = 8;
const SLOTS = 8;
const ITEMS = 60;
const STEP_MS = 50;
/** Time after the series for which requests may go on to crash upstreams, in milliseconds. */
const MAX_AFTER_MS = 120_000;
/** Each time, so many upstreams crash, and as many again a moment later. */
const SECOND_CRASH_DELAY_MS = 100;
const CRASHING_UPSTREAMS = 2;
/** Time from the begin of a request that crashes its upstream to the crash, in milliseconds. */
const CRASHES_AFTER_MS = 80;
const LOST_ANSWER_INTERVAL_MS = 1000;
/** Time in which a process learns what another one tells it, in milliseconds. */
const PEER_DELAY_MS = 30;
const HOUSEKEEPING_MS = 500;
/** Time after the start of an upstream at which its entry replaces that of the process before, in milliseconds. */
const ENTRY_DELAY_MS = 500;
/** Run time of an online request, in milliseconds, and the time between two. */
const ONLINE_RUN_MS = 700;
const ONLINE_INTERVAL_MS = 50;

type SimulatedUpstream = NonNullable<ReturnType<SimulatedUpstreams["choose"]>>;

interface SimulatedItem {
    traits: RequestTraitId[];
    runner: RequestQuarantine;
    arrivesAtMs: number;
    remainingMs: number;
    isBad: boolean;
    isRunning: boolean;
    crashes: number;
    /** Number of upstreams that it had crashed when its runner first kept it from running; undefined before. */
    crashesUntilFound: number | undefined;
}

/** Runners whose items are resumed after each crash, and upstreams that crash for reasons of their own. */
export class SimulatedCrashSeries {
    readonly clock = new ManualClock();
    readonly items: SimulatedItem[];
    private readonly opts: CrashSeriesOptions;
    private readonly random: SeededRandom;
    private readonly upstreams: SimulatedUpstreams;
    private readonly listed = new Map<string, Upstream>();
    private lastCrashAtMs = 0;
    private readonly runners: RequestQuarantine[];
    private readonly gateway: RequestQuarantine;

    constructor(opts: CrashSeriesOptions) {
        this.opts = opts;
        this.random = new SeededRandom(opts.seed);
        const { clock, random } = this;
        this.upstreams = new SimulatedUpstreams({
            clock,
            random,
            count: UPSTREAMS,
            onStarted: entry => this.list(entry),
        });
        this.gateway = this.createProcess();
        this.runners = Array.from({ length: opts.runners }, () => this.createProcess());
        this.items = Array.from({ length: ITEMS }, (_, index) => this.createItem(index));
    }

    /** Items that are neither done nor running. */
    get waiting(): SimulatedItem[] {
        return this.items.filter(({ remainingMs, isRunning }) => remainingMs > 0 && !isRunning);
    }

    /** Plays up to a time, in milliseconds. */
    async playUntil(untilMs: number): Promise<void> {
        while (this.clock.nowMs() < untilMs) {
            this.step();
            await this.clock.advance(STEP_MS);
        }
    }

    /** Plays the series, and after it until no upstream has crashed for so long, at most `MAX_AFTER_MS`. */
    async playUntilCalm(calmMs: number): Promise<void> {
        const { seriesMs } = this.opts;
        const endMs = () => Math.max(seriesMs, Math.min(this.lastCrashAtMs + calmMs, seriesMs + MAX_AFTER_MS));
        while (this.clock.nowMs() < endMs()) {
            await this.playUntil(endMs());
        }
    }

    private step(): void {
        const { seriesMs, crashIntervalMs, lostAnswersUntilMs, hasOnline } = this.opts;
        const atMs = this.clock.nowMs();
        if (atMs < seriesMs && [0, SECOND_CRASH_DELAY_MS].includes(atMs % crashIntervalMs)) {
            Array.from({ length: CRASHING_UPSTREAMS }).forEach(() => this.crashOne());
        }
        if (atMs < lostAnswersUntilMs && atMs % LOST_ANSWER_INTERVAL_MS === 0) {
            this.loseAnswer();
        }
        if (hasOnline && atMs % ONLINE_INTERVAL_MS === 0) {
            this.runOnline();
        }
        if (atMs % HOUSEKEEPING_MS === 0) {
            this.keepHouse();
        }
        this.succeedOnce();
        this.items.filter(({ arrivesAtMs }) => arrivesAtMs <= atMs).forEach(item => this.dispatch(item));
    }

    private get processes(): RequestQuarantine[] {
        return [this.gateway, ...this.runners];
    }

    private createItem(index: number): SimulatedItem {
        const { parts, runMs: [minMs, maxMs], burst, badItems } = this.opts;
        return {
            traits: [`part-${index % parts}`, `request:${index}`] as RequestTraitId[],
            runner: this.runners[Math.floor(this.random.next() * this.runners.length)]!,
            arrivesAtMs: Math.floor(index / burst.items) * burst.intervalMs,
            remainingMs: minMs + this.random.next() * (maxMs - minMs),
            isBad: index < badItems,
            isRunning: false,
            crashes: 0,
            crashesUntilFound: undefined,
        };
    }

    private createProcess(): RequestQuarantine {
        const tellPeers = (suspicions: Parameters<RequestQuarantine["merge"]>[0]) => {
            this.clock.setTimer(PEER_DELAY_MS, () => {
                this.processes.filter(peer => peer !== process).forEach(peer => peer.merge(suspicions));
            });
        };
        const process: RequestQuarantine = new RequestQuarantine({
            clock: this.clock,
            random: this.random,
            logger: silentLogger,
            publish: tellPeers,
            store: () => undefined,
            remove: () => undefined,
            listedAtMs: ({ id, startedAtMs }) =>
                this.listed.get(id)?.startedAtMs === startedAtMs ? this.clock.nowMs() : -Infinity,
            upstreamCount: () => UPSTREAMS,
            onChanged: () => undefined,
        });
        return process;
    }

    private keepHouse(): void {
        this.processes.forEach(process => {
            process.withdrawCrashes();
            const suspicions = process.toRepeat();
            this.clock.setTimer(PEER_DELAY_MS, () => {
                this.processes.filter(peer => peer !== process).forEach(peer => peer.merge(suspicions));
            });
        });
    }

    private list(entry: Upstream): void {
        const previous = this.listed.get(entry.id);
        if (previous === undefined) {
            this.listed.set(entry.id, entry);
            return;
        }
        this.clock.setTimer(ENTRY_DELAY_MS, () => {
            this.listed.set(entry.id, entry);
            this.processes.forEach(process => process.onEnded({ ...previous, service: SERVICE }));
        });
    }

    /** Some request succeeds all the time. */
    private succeedOnce(): void {
        const upstream = this.upstreams.choose(new Set());
        if (upstream !== undefined) {
            this.processes.forEach(process => {
                const run = process.begin(SERVICE, ["request:online" as RequestFingerprint]);
                process.onSuccess(run, upstream.entry);
            });
        }
    }

    private runOnline(): void {
        const upstream = this.upstreams.choose(new Set());
        const traits = [`request:online-${this.clock.nowMs()}`] as RequestTraitId[];
        if (upstream === undefined || this.gateway.blockedForMs(SERVICE, traits) > 0) {
            return;
        }
        const run = this.gateway.begin(SERVICE, traits);
        const end = this.clock.setTimer(ONLINE_RUN_MS, () => {
            upstream.runs.delete(cut);
            this.gateway.onSuccess(run, upstream.entry);
        });
        const cut = () => {
            end.cancel();
            this.gateway.onCrash(run, upstream.entry);
        };
        upstream.runs.add(cut);
    }

    private crashOne(): void {
        const upstream = this.upstreams.choose(new Set());
        if (upstream !== undefined) {
            this.crash(upstream);
        }
    }

    private crash(upstream: SimulatedUpstream): void {
        this.lastCrashAtMs = this.clock.nowMs();
        this.upstreams.crash(upstream);
    }

    /** An upstream breaks off one of its runs and lives on. */
    private loseAnswer(): void {
        const upstream = this.upstreams.choose(new Set());
        const [cut] = upstream?.runs ?? [];
        if (upstream !== undefined && cut !== undefined) {
            upstream.runs.delete(cut);
            cut();
        }
    }

    private dispatch(item: SimulatedItem): void {
        if (item.isRunning || item.remainingMs <= 0) {
            return;
        }
        if (item.runner.itemBlockedForMs(SERVICE, item.traits) > 0) {
            item.crashesUntilFound ??= item.crashes;
            return;
        }
        const upstream = this.upstreams.choose(new Set());
        if (upstream !== undefined && upstream.runs.size < SLOTS) {
            this.run(item, upstream);
        }
    }

    private run(item: SimulatedItem, upstream: SimulatedUpstream): void {
        const startedAtMs = this.clock.nowMs();
        const run = item.runner.begin(SERVICE, item.traits);
        item.isRunning = true;
        const end = this.clock.setTimer(item.isBad ? CRASHES_AFTER_MS : item.remainingMs, () => {
            if (item.isBad) {
                item.crashes += 1;
                this.crash(upstream);
                return;
            }
            upstream.runs.delete(cut);
            Object.assign(item, { isRunning: false, remainingMs: 0 });
            item.runner.onSuccess(run, upstream.entry);
        });
        const cut = () => {
            end.cancel();
            item.isRunning = false;
            item.remainingMs -= item.isBad ? 0 : this.clock.nowMs() - startedAtMs;
            item.runner.onCrash(run, upstream.entry);
        };
        upstream.runs.add(cut);
    }
}
