// Guards against sound items that are kept from idle upstreams after a series of crashes (LOST): each crash broke off all
// runs at an upstream and was held against each of them, and so was the next crash against the run that tested an item.
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { RequestFingerprint } from "@knapweedwood/core.ids/requestFingerprint";
import type { RequestTraitId } from "@knapweedwood/core.ids/requestTraitId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestQuarantine } from "../src/requestQuarantine.js";
import { SimulatedUpstreams } from "./simulatedUpstreams.js";

const SERVICE = "s" as ServiceName;
const UPSTREAMS = 8;
const SLOTS = 8;
const ITEMS = 60;
/** Time between the arrivals of two items, in milliseconds. */
const ARRIVAL_MS = 600;
const PARTS = 4;
const ITEM_RUN_MS = 6000;
const STEP_MS = 20;
const SERIES_MS = 32_000;
/** Time after the crashes in which items are still run, in milliseconds. */
const FINISH_MS = 18_000;
/** Each time, so many upstreams crash, and as many again a moment later. */
const CRASH_INTERVAL_MS = 2000;
const SECOND_CRASH_DELAY_MS = 100;
const CRASHING_UPSTREAMS = 2;
/** Time from the begin of a request that crashes its upstream to the crash, in milliseconds. */
const CRASHES_AFTER_MS = 80;
/** Number of upstreams that one item may crash in the series and after it: until it is found, and by some probes. */
const MAX_OWN_CRASHES = 20;

interface SimulatedItem {
    traits: RequestTraitId[];
    remainingMs: number;
    isBad: boolean;
    isRunning: boolean;
    crashes: number;
}

/** A runner whose items are resumed after each crash, and upstreams that crash for reasons of their own. */
class CrashSeries {
    readonly clock = new ManualClock();
    readonly items: SimulatedItem[];
    private readonly random: SeededRandom;
    private readonly upstreams: SimulatedUpstreams;
    private readonly quarantine: RequestQuarantine;

    constructor(seed: number, badItems: number) {
        this.random = new SeededRandom(seed);
        const { clock, random } = this;
        this.upstreams = new SimulatedUpstreams({ clock, random, count: UPSTREAMS, onStarted: () => undefined });
        this.quarantine = new RequestQuarantine({
            clock,
            random,
            logger: silentLogger,
            publish: () => undefined,
            store: () => undefined,
            remove: () => undefined,
            listedAtMs: () => -Infinity,
            upstreamCount: () => UPSTREAMS,
            onChanged: () => undefined,
        });
        this.items = Array.from({ length: ITEMS }, (_, index) => ({
            traits: [`part-${index % PARTS}`, `request:${index}`] as RequestTraitId[],
            remainingMs: ITEM_RUN_MS,
            isBad: index < badItems,
            isRunning: false,
            crashes: 0,
        }));
    }

    /** Plays the series, if there is one, and the time after it. */
    async play(hasSeries: boolean): Promise<void> {
        for (let atMs = 0; atMs < SERIES_MS + FINISH_MS; atMs += STEP_MS) {
            if (hasSeries && atMs < SERIES_MS && [0, SECOND_CRASH_DELAY_MS].includes(atMs % CRASH_INTERVAL_MS)) {
                this.crashSome();
            }
            this.succeedOnce();
            this.items.slice(0, 1 + atMs / ARRIVAL_MS).forEach(item => this.dispatch(item));
            await this.clock.advance(STEP_MS);
        }
    }

    /** Online requests succeed all the time. */
    private succeedOnce(): void {
        const upstream = this.upstreams.choose(new Set());
        if (upstream !== undefined) {
            const run = this.quarantine.begin(SERVICE, ["request:online" as RequestFingerprint]);
            this.quarantine.onSuccess(run, upstream.entry);
        }
    }

    private crashSome(): void {
        Array.from({ length: CRASHING_UPSTREAMS }).forEach(() => {
            const upstream = this.upstreams.choose(new Set());
            if (upstream !== undefined) {
                this.upstreams.crash(upstream);
            }
        });
    }

    private dispatch(item: SimulatedItem): void {
        const upstream = this.upstreams.choose(new Set());
        const mayRun = !item.isRunning && item.remainingMs > 0
            && this.quarantine.itemBlockedForMs(SERVICE, item.traits) === 0;
        if (!mayRun || upstream === undefined || upstream.runs.size >= SLOTS) {
            return;
        }
        const startedAtMs = this.clock.nowMs();
        const run = this.quarantine.begin(SERVICE, item.traits);
        item.isRunning = true;
        const end = this.clock.setTimer(item.isBad ? CRASHES_AFTER_MS : item.remainingMs, () => {
            if (item.isBad) {
                item.crashes += 1;
                this.upstreams.crash(upstream);
                return;
            }
            upstream.runs.delete(cut);
            Object.assign(item, { isRunning: false, remainingMs: 0 });
            this.quarantine.onSuccess(run, upstream.entry);
        });
        const cut = () => {
            end.cancel();
            item.isRunning = false;
            item.remainingMs -= item.isBad ? 0 : this.clock.nowMs() - startedAtMs;
            this.quarantine.onCrash(run, upstream.entry);
        };
        upstream.runs.add(cut);
    }
}

const seeds = Array.from({ length: 20 }, (_, index) => index + 1);

test("all sound items are finished some seconds after a series of crashes", async () => {
    const left = await Promise.all(seeds.map(async seed => {
        const series = new CrashSeries(seed, 0);
        await series.play(true);
        return series.items.filter(({ remainingMs }) => remainingMs > 0).length;
    }));
    assert.deepEqual(left, seeds.map(() => 0));
});

test("items that crash their upstreams are found during a series of other crashes, and without one", async () => {
    const worst = await Promise.all([true, false].flatMap(hasSeries =>
        seeds.map(async seed => {
            const series = new CrashSeries(seed, 2);
            await series.play(hasSeries);
            return Math.max(...series.items.map(({ crashes }) => crashes));
        })
    ));
    assert.deepEqual(worst.filter(crashes => crashes > MAX_OWN_CRASHES), []);
});
