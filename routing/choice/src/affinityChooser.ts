import { rendezvousRank } from "@knapweedwood/core.hashing/rendezvousRank";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { AffinityChooserOptions } from "./affinityChooserOptions.js";
import type { ChooseRequest } from "./chooseRequest.js";
import { defaultEjectionLimits } from "./defaultEjectionLimits.js";
import { InFlightCounts } from "./inFlightCounts.js";
import { leastLoadedOfTwo } from "./leastLoadedOfTwo.js";
import { OutlierEjector } from "./outlierEjector.js";
import type { PrefixCacheChange } from "./prefixCacheChange.js";
import { PrefixIndex } from "./prefixIndex.js";
import { RendezvousSubset } from "./rendezvousSubset.js";
import { SlowStart } from "./slowStart.js";
import { SubsetCache } from "./subsetCache.js";
import type { UpstreamCandidate } from "./upstreamCandidate.js";
import type { UpstreamChooser } from "./upstreamChooser.js";
import type { UpstreamObservation } from "./upstreamObservation.js";
import type { WeightedLoad } from "./weightedLoad.js";

const DEFAULT_SUBSET_SIZE = 24;
const DEFAULT_AFFINITY_LOAD_FACTOR = 1.6;
const DEFAULT_ZONE_LOAD_FACTOR = 1.5;
const DEFAULT_SLOW_START_MS = 10_000;
const DEFAULT_MAX_INDEXED_BLOCKS = 4096;
const INITIAL_WEIGHT = 0.1;

/**
 * Chooses by zone, then by a subset for this entry, then by the prefix of the prompt as far as load allows. Otherwise
 * it chooses the less loaded of two random upstreams. Failing and slow upstreams are ejected and return gradually.
 */
export class AffinityChooser implements UpstreamChooser {
    private readonly opts: AffinityChooserOptions;
    private readonly sameZoneSubset: SubsetCache;
    private readonly otherZonesSubset: SubsetCache;
    private readonly inFlight = new InFlightCounts();
    private readonly slowStart: SlowStart;
    private readonly ejector: OutlierEjector;
    private readonly prefixIndex: PrefixIndex;
    private knownInstanceIds: readonly InstanceId[] = [];

    constructor(opts: AffinityChooserOptions) {
        this.opts = opts;
        const subset = opts.subset ?? new RendezvousSubset({
            entryId: opts.entryId,
            subsetSize: opts.subsetSize ?? DEFAULT_SUBSET_SIZE,
        });
        this.sameZoneSubset = new SubsetCache(subset);
        this.otherZonesSubset = new SubsetCache(subset);
        this.slowStart = new SlowStart({
            rampMs: opts.slowStartMs ?? DEFAULT_SLOW_START_MS,
            initialWeight: INITIAL_WEIGHT,
        });
        this.prefixIndex = new PrefixIndex({ maxBlocks: opts.maxIndexedBlocks ?? DEFAULT_MAX_INDEXED_BLOCKS });
        this.ejector = new OutlierEjector({
            limits: { ...defaultEjectionLimits, ...opts.ejection },
            onEjected: (instanceId, returnsAtMs) => {
                this.slowStart.restart(instanceId, returnsAtMs);
                this.prefixIndex.remove(instanceId);
            },
        });
    }

    choose(request: ChooseRequest): InstanceId | undefined {
        this.updateKnownUpstreams(request);
        const eligible = this.eligibleCandidates(request);
        const sameZone = eligible.filter(candidate => candidate.zone === this.opts.zone);
        const otherZones = eligible.filter(candidate => candidate.zone !== this.opts.zone);
        const chosen = this.chooseAmong(
            this.applySpillover(
                this.loadsOf(sameZone, this.sameZoneSubset, request),
                this.loadsOf(otherZones, this.otherZonesSubset, request),
            ),
            request,
        );
        if (chosen === undefined) {
            return undefined;
        }
        const { instanceId } = chosen.candidate;
        this.inFlight.onStarted(instanceId, request.nowMs);
        this.prefixIndex.recordChoice(instanceId, request.promptBlocks ?? []);
        return instanceId;
    }

    observe(observation: UpstreamObservation): void {
        this.inFlight.onEnded(observation.instanceId);
        this.ejector.observe(observation);
    }

    /** Applies an event of an engine's prefix cache. */
    onCacheChange(change: PrefixCacheChange): void {
        this.prefixIndex.onCacheChange(change);
    }

    private updateKnownUpstreams({ candidates, nowMs }: ChooseRequest): void {
        const isUnchanged = candidates.length === this.knownInstanceIds.length
            && candidates.every((candidate, index) => candidate.instanceId === this.knownInstanceIds[index]);
        if (isUnchanged) {
            return;
        }
        this.knownInstanceIds = candidates.map(candidate => candidate.instanceId);
        this.slowStart.updateUpstreams(this.knownInstanceIds, nowMs);
        this.ejector.retain(this.knownInstanceIds);
        this.prefixIndex.retain(this.knownInstanceIds);
    }

    /**
     * Returns the eligible candidates from the first non-empty tier: upstreams with an open link that are not ejected,
     * then all upstreams with an open link, then also those whose link is suspect.
     */
    private eligibleCandidates({ candidates, role, excluded, nowMs }: ChooseRequest): UpstreamCandidate[] {
        const live = candidates
            .filter(candidate => candidate.state === "live")
            .filter(candidate => candidate.linkState === "open" || candidate.linkState === "suspect")
            .filter(candidate => excluded?.includes(candidate.instanceId) !== true)
            .filter(candidate => servesRole(candidate, role));
        const open = live.filter(candidate => candidate.linkState === "open");
        const healthy = open.filter(candidate => !this.ejector.isEjected(candidate.instanceId, nowMs));
        return [healthy, open, live].find(tier => tier.length > 0) ?? [];
    }

    private loadsOf(
        candidates: readonly UpstreamCandidate[],
        subset: SubsetCache,
        { nowMs }: ChooseRequest,
    ): WeightedLoad[] {
        return subset.select(candidates, nowMs).map(candidate => this.loadOf(candidate, nowMs));
    }

    /** Returns the loads of this entry's zone, or of all zones if this zone is overloaded compared with the others. */
    private applySpillover(sameZone: WeightedLoad[], otherZones: WeightedLoad[]): WeightedLoad[] {
        if (sameZone.length === 0 || otherZones.length === 0) {
            return [...sameZone, ...otherZones];
        }
        const factor = this.opts.zoneLoadFactor ?? DEFAULT_ZONE_LOAD_FACTOR;
        return meanLoad(sameZone) <= Math.max(1, meanLoad(otherZones)) * factor
            ? sameZone
            : [...sameZone, ...otherZones];
    }

    private chooseAmong(loads: WeightedLoad[], request: ChooseRequest): WeightedLoad | undefined {
        const factor = this.opts.affinityLoadFactor ?? DEFAULT_AFFINITY_LOAD_FACTOR;
        const bound = Math.max(1, meanLoad(loads) * factor);
        const withinBound = loads.filter(({ load }) => load <= bound);
        return this.bestPrefixMatch(withinBound, request)
            ?? firstByAffinityKey(loads, bound, request)
            ?? leastLoadedOfTwo(withinBound, this.opts.random);
    }

    /** Returns the upstream with the most cached leading blocks of the prompt; the least loaded one on a tie. */
    private bestPrefixMatch(withinBound: WeightedLoad[], { promptBlocks }: ChooseRequest): WeightedLoad | undefined {
        if (promptBlocks === undefined || promptBlocks.length === 0) {
            return undefined;
        }
        return withinBound
            .map(upstream => ({
                upstream,
                match: this.prefixIndex.matchOf(upstream.candidate.instanceId, promptBlocks),
            }))
            .filter(({ match }) => match > 0)
            .sort((left, right) => right.match - left.match || left.upstream.load - right.upstream.load)
            .at(0)?.upstream;
    }

    private loadOf(candidate: UpstreamCandidate, nowMs: number): WeightedLoad {
        const weight = this.slowStart.weightOf(candidate.instanceId, nowMs) * (candidate.capacity ?? 1);
        return { candidate, load: (this.inFlight.loadOf(candidate, nowMs) + 1) / weight };
    }
}

/** Returns the first upstream within the bound, in the order of the key: rendezvous hashing with bounded loads. */
function firstByAffinityKey(loads: WeightedLoad[], bound: number, request: ChooseRequest): WeightedLoad | undefined {
    const key = request.affinityKey ?? request.promptBlocks?.at(0);
    if (key === undefined) {
        return undefined;
    }
    const byId = new Map(loads.map(upstream => [upstream.candidate.instanceId, upstream]));
    return rendezvousRank(key, [...byId.keys()]).map(id => byId.get(id)!).find(({ load }) => load <= bound);
}

function servesRole(candidate: UpstreamCandidate, role: ChooseRequest["role"]): boolean {
    return role === undefined || candidate.role === undefined || candidate.role === "any" || candidate.role === role;
}

function meanLoad(loads: readonly WeightedLoad[]): number {
    return loads.reduce((sum, { load }) => sum + load, 0) / Math.max(1, loads.length);
}
