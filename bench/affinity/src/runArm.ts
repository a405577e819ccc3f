import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ZoneName } from "@knapweedwood/core.ids/zoneName";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { AffinityChooser } from "@knapweedwood/routing.choice/affinityChooser";
import type { ChooseRequest } from "@knapweedwood/routing.choice/chooseRequest";
import { promptBlocksOf } from "@knapweedwood/routing.choice/promptBlocksOf";
import type { UpstreamCandidate } from "@knapweedwood/routing.choice/upstreamCandidate";
import type { AffinityOptions } from "./affinityOptions.js";
import type { ArmName } from "./armName.js";
import type { ArmResult } from "./armResult.js";
import { createChoosers } from "./createChoosers.js";
import type { PendingCacheChange } from "./pendingCacheChange.js";
import type { PromptArrival } from "./promptArrival.js";
import { SimulatedUpstream } from "./simulatedUpstream.js";

const LOAD_REPORT_INTERVAL_MS = 100;
const CACHE_EVENT_DELAY_MS = 500;
const CACHE_EVENT_LOSS_SHARE = 0.1;
const PREFIX_HASH_CHARACTERS = 512;

/** Simulates all arrivals with one strategy for choosing an upstream, in steps of one millisecond. */
export function runArm(arm: ArmName, arrivals: readonly PromptArrival[], opts: AffinityOptions): ArmResult {
    const random = new SeededRandom(opts.seed);
    const pendingChanges: PendingCacheChange[] = [];
    let nowMs = 0;
    const upstreams = Array.from({ length: opts.upstreamCount }, (_, index) => {
        const instanceId = `upstream-${index}` as InstanceId;
        let sequenceNumber = 0;
        return new SimulatedUpstream(instanceId, (kind, blockHashes) => {
            sequenceNumber += 1;
            if (random.next() >= CACHE_EVENT_LOSS_SHARE) {
                const change = { instanceId, sequenceNumber, kind, blockHashes };
                pendingChanges.push({ dueMs: nowMs + CACHE_EVENT_DELAY_MS, change });
            }
        });
    });
    let currentPrompt = "";
    const byId = new Map(upstreams.map(upstream => [upstream.instanceId, upstream]));
    const choosers = createChoosers({
        ...opts,
        arm,
        costOf: instanceId => byId.get(instanceId)!.estimateFirstTokenMs(currentPrompt, nowMs),
    });
    const entryIndexesByUpstream = new Map(upstreams.map(upstream => [upstream, [] as number[]]));
    let candidates: UpstreamCandidate[] = [];
    let peakLoad = 0;
    let nextArrival = 0;
    while (
        nextArrival < arrivals.length || upstreams.some(upstream => upstream.runningCount + upstream.queuedCount > 0)
    ) {
        if (nowMs % LOAD_REPORT_INTERVAL_MS === 0) {
            candidates = upstreams.map(upstream => toCandidate(upstream, nowMs));
        }
        while (pendingChanges.length > 0 && pendingChanges[0].dueMs <= nowMs) {
            const { change } = pendingChanges.shift()!;
            if (arm === "prefix-index-with-events") {
                choosers.forEach(chooser => (chooser as AffinityChooser).onCacheChange(change));
            }
        }
        for (; nextArrival < arrivals.length && arrivals[nextArrival].atMs <= nowMs; nextArrival += 1) {
            const arrival = arrivals[nextArrival];
            currentPrompt = arrival.prompt;
            const chosen = choosers[arrival.entryIndex].choose(toRequest(arm, arrival, candidates, nowMs))!;
            const upstream = byId.get(chosen)!;
            upstream.enqueue(arrival);
            entryIndexesByUpstream.get(upstream)!.push(arrival.entryIndex);
            peakLoad = Math.max(peakLoad, upstream.runningCount + upstream.queuedCount);
        }
        upstreams.forEach(upstream => {
            const endedCount = upstream.advance(nowMs);
            entryIndexesByUpstream.get(upstream)!.splice(0, endedCount).forEach(entryIndex =>
                choosers[entryIndex].observe({
                    instanceId: upstream.instanceId,
                    kind: "success",
                    durationMs: 1,
                    nowMs,
                })
            );
        });
        nowMs += 1;
    }
    return toResult(arm, upstreams, peakLoad);
}

function toCandidate(upstream: SimulatedUpstream, nowMs: number): UpstreamCandidate {
    return {
        instanceId: upstream.instanceId,
        zone: "zone-a" as ZoneName,
        state: "live",
        linkState: "open",
        running: upstream.runningCount,
        queued: upstream.queuedCount,
        countedAtMs: nowMs,
    };
}

function toRequest(
    arm: ArmName,
    { prompt }: PromptArrival,
    candidates: UpstreamCandidate[],
    nowMs: number,
): ChooseRequest {
    return {
        candidates,
        nowMs,
        affinityKey: arm === "prefix-hash" ? prompt.slice(0, PREFIX_HASH_CHARACTERS) : undefined,
        promptBlocks: arm === "prefix-index" || arm === "prefix-index-with-events"
            ? promptBlocksOf(prompt)
            : undefined,
    };
}

function toResult(name: ArmName, upstreams: readonly SimulatedUpstream[], peakLoad: number): ArmResult {
    const firstTokenMs = upstreams.flatMap(upstream => upstream.firstTokenMs).sort((left, right) => left - right);
    const quantile = (share: number) => firstTokenMs[Math.floor(firstTokenMs.length * share)];
    const sum = (amountOf: (upstream: SimulatedUpstream) => number) =>
        upstreams.reduce((total, upstream) => total + amountOf(upstream), 0);
    return {
        name,
        requestCount: firstTokenMs.length,
        hitShare: sum(upstream => upstream.cachedTokens) / sum(upstream => upstream.promptTokens),
        firstTokenP50Ms: quantile(0.5),
        firstTokenP99Ms: quantile(0.99),
        peakLoad,
    };
}
