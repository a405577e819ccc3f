import type { Clock } from "@knapweedwood/core.clock/clock";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { PromptPartId } from "@knapweedwood/core.ids/promptPartId";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { LeastLoadedPlacement } from "@knapweedwood/fleet.load/leastLoadedPlacement";
import type { LoadReport } from "@knapweedwood/fleet.load/loadReport";
import { LoadTracker } from "@knapweedwood/fleet.load/loadTracker";
import { UpstreamSpeeds } from "@knapweedwood/fleet.load/upstreamSpeeds";
import type { PromptPart } from "@knapweedwood/fleet.view/promptPart";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import { KeptParts } from "../src/keptParts.js";
import { PromptCacheCost } from "../src/promptCacheCost.js";
import { promptKeysOf } from "../src/promptKeysOf.js";
import { upstreamOf } from "./upstreamOf.js";

const UPSTREAMS = 31;
const GATEWAYS = 4;
const SHARED_PARTS = 80;
const SESSIONS = 400;
const TOKENS_PER_MS = 140;
const SHARED_TOKENS = 4500;
const MEAN_SESSION_TOKENS = 1800;
const CACHE_TOKENS = 70_000;
const BASE_MS = 12;
const MEAN_DECODING_MS = 300;
const REPORT_INTERVAL_MS = 15;
const WARM_UP_MS = 3000;

interface SimulatedCall {
    arrivedAtMs: number;
    promptParts: PromptPart[];
    /** Time to first data without reading the prompt. */
    baseMs: number;
    decodingMs: number;
}

/** Prompts of sessions differ in length. */
function sessionTokens(session: number): number {
    return Math.round(MEAN_SESSION_TOKENS * (0.5 + (session % 101) / 100));
}

/** Simulates calls at gateways that see each other's load late, and upstreams that cache prompts. Time steps are 1 ms. */
export function simulatePrompts(
    opts: { usesTerm: boolean; seed: number; durationMs: number; callsPerMs: (nowMs: number) => number; },
) {
    const time = { nowMs: 0 };
    const clock: Clock = {
        nowMs: () => time.nowMs,
        timeOfDayMs: () => time.nowMs,
        setTimer: () => ({ cancel: () => undefined }),
    };
    const upstreams = Array.from({ length: UPSTREAMS }, (_, index) => upstreamOf(`upstream-${index}`, 8));
    const caches = new Map(upstreams.map(({ id }) => [id, new KeptParts({ startedAtMs: 1 })]));
    const running = new Map(upstreams.map(({ id }) => [id, 0]));
    const calls = new SeededRandom(opts.seed);
    const gateways = Array.from({ length: GATEWAYS }, (_, index) => {
        const loadTracker = new LoadTracker();
        const speeds = new UpstreamSpeeds({ clock });
        const caching = new PromptCacheCost({ speeds, usableUpstreams: () => upstreams, processes: () => GATEWAYS });
        const placement = new LeastLoadedPlacement({
            loadTracker,
            random: new SeededRandom(opts.seed * GATEWAYS + index),
            zone: upstreams[0]!.zone,
            connectionShare: () => Infinity,
            placingPeers: () => GATEWAYS - 1,
            speeds,
            ...opts.usesTerm ? { cost: caching } : {},
        });
        return { index, loadTracker, speeds, caching, placement, waiting: [] as SimulatedCall[] };
    });
    const due = new Map<number, (() => void)[]>();
    const after = (delayMs: number, action: () => void) => {
        const atMs = time.nowMs + Math.max(1, Math.round(delayMs));
        due.set(atMs, [...due.get(atMs) ?? [], action]);
    };
    const results = {
        firstEventMs: [] as number[],
        waitMs: [] as number[],
        readTokens: 0,
        promptTokens: 0,
        overfull: 0,
    };
    const report = (sequence: number) => {
        gateways.forEach(from => {
            const sent = {
                instanceName: `g${from.index}` as InstanceName,
                startedAtMs: 1,
                sequence,
                counts: from.loadTracker.ownCounts().map(counts => ({ ...counts })),
                waiting: [],
            } as unknown as LoadReport;
            gateways.filter(to => to !== from).forEach(to => to.loadTracker.apply(sent, time.nowMs));
        });
        after(REPORT_INTERVAL_MS, () => report(sequence + 1));
    };
    const start = (gateway: typeof gateways[number], call: SimulatedCall, upstream: Upstream) => {
        const sentAtMs = time.nowMs;
        const run = gateway.caching.begin(upstream, call.promptParts);
        const keys = promptKeysOf(call.promptParts);
        const readTokens = keys.totalTokens - caches.get(upstream.id)!.keptTokens(keys);
        const atUpstream = running.get(upstream.id)! + 1;
        running.set(upstream.id, atUpstream);
        gateway.loadTracker.count(upstream.id, "online", 1);
        // Requests beyond the slots wait at the upstream. This happens if gateways choose it between two reports.
        const overfullMs = atUpstream > upstream.slots ? MEAN_DECODING_MS / upstream.slots : 0;
        const firstDataMs = overfullMs + call.baseMs + readTokens / TOKENS_PER_MS;
        if (call.arrivedAtMs >= WARM_UP_MS) {
            results.readTokens += readTokens;
            results.promptTokens += keys.totalTokens;
            results.overfull += overfullMs > 0 ? 1 : 0;
            results.waitMs.push(sentAtMs - call.arrivedAtMs);
            results.firstEventMs.push(sentAtMs - call.arrivedAtMs + firstDataMs);
        }
        after(firstDataMs, () => {
            caches.get(upstream.id)!.add(keys, CACHE_TOKENS);
            run.onBegun(time.nowMs - sentAtMs);
            gateway.speeds.recordFirstData(upstream, sentAtMs);
        });
        after(firstDataMs + call.decodingMs, () => {
            running.set(upstream.id, running.get(upstream.id)! - 1);
            gateway.loadTracker.count(upstream.id, "online", -1);
            gateway.speeds.recordHold(upstream, sentAtMs, true);
        });
    };
    const dispatch = (gateway: typeof gateways[number]) => {
        for (let call = gateway.waiting[0]; call !== undefined; call = gateway.waiting[0]) {
            const upstream = gateway.placement.placeOnline(upstreams, {
                ...call,
                objectiveAtMs: call.arrivedAtMs + 1000,
            });
            if (upstream === undefined) {
                return;
            }
            gateway.waiting.shift();
            start(gateway, call, upstream);
        }
    };
    report(1);
    let owed = 0;
    for (; time.nowMs < opts.durationMs; time.nowMs += 1) {
        due.get(time.nowMs)?.forEach(action => action());
        due.delete(time.nowMs);
        for (owed += opts.callsPerMs(time.nowMs); owed >= 1; owed -= 1) {
            const session = Math.floor(calls.next() * SESSIONS);
            const promptParts = [
                { id: `shared-${session % SHARED_PARTS}` as PromptPartId, tokens: SHARED_TOKENS },
                { id: `session-${session}` as PromptPartId, tokens: sessionTokens(session) },
            ];
            const decodingMs = MEAN_DECODING_MS * (0.5 + calls.next());
            const baseMs = BASE_MS * (0.7 + 0.6 * calls.next());
            const gateway = gateways[Math.floor(calls.next() * GATEWAYS)]!;
            gateway.waiting.push({ arrivedAtMs: time.nowMs, promptParts, baseMs, decodingMs });
        }
        gateways.forEach(dispatch);
    }
    const meanOf = (values: number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;
    const percentileOf = (values: number[], share: number) =>
        values.toSorted((left, right) => left - right)[Math.floor(values.length * share)]!;
    return {
        calls: results.waitMs.length,
        readShare: results.readTokens / results.promptTokens,
        meanFirstEventMs: meanOf(results.firstEventMs),
        p99FirstEventMs: percentileOf(results.firstEventMs, 0.99),
        meanWaitMs: meanOf(results.waitMs),
        p99WaitMs: percentileOf(results.waitMs, 0.99),
        overfull: results.overfull,
    };
}
