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
 * Chooses by zone, then by a subset for this entry, then by the prefix of the prompt while load allows, and else the
 * less loaded of two. Failing and slow upstreams are ejected and return gradually.
 */
export class AffinityChooser implements UpstreamChooser {
    private readonly opts: AffinityChooserOptions;
    private readonly nearSubset: SubsetCache;
    private readonly farSubset: SubsetCache;
    private readonly inFlight = new InFlightCounts();
    private readonly slowStart: SlowStart;
    private readonly ejector: OutlierEjector;
    private readonly prefixes: PrefixIndex;
    private seen: readonly InstanceId[] = [];

    constructor(opts: AffinityChooserOptions) {
        this.opts = opts;
        const subset = opts.subset ?? new RendezvousSubset({
            entryId: opts.entryId,
            subsetSize: opts.subsetSize ?? DEFAULT_SUBSET_SIZE,
        });
        this.nearSubset = new SubsetCache(subset);
        this.farSubset = new SubsetCache(subset);
        this.slowStart = new SlowStart({
            rampMs: opts.slowStartMs ?? DEFAULT_SLOW_START_MS,
            initialWeight: INITIAL_WEIGHT,
        });
        this.prefixes = new PrefixIndex({ maxBlocks: opts.maxIndexedBlocks ?? DEFAULT_MAX_INDEXED_BLOCKS });
        this.ejector = new OutlierEjector({
            limits: { ...defaultEjectionLimits, ...opts.ejection },
            onEjected: (instanceId, returnsAtMs) => {
                this.slowStart.restart(instanceId, returnsAtMs);
                this.prefixes.forget(instanceId);
            },
        });
    }

    choose(request: ChooseRequest): InstanceId | undefined {
        this.noteListed(request);
        const usable = this.usable(request);
        const near = usable.filter(candidate => candidate.zone === this.opts.zone);
        const far = usable.filter(candidate => candidate.zone !== this.opts.zone);
        const chosen = this.chooseAmong(
            this.spill(this.loadsOf(near, this.nearSubset, request), this.loadsOf(far, this.farSubset, request)),
            request,
        );
        if (chosen === undefined) {
            return undefined;
        }
        const { instanceId } = chosen.candidate;
        this.inFlight.onStarted(instanceId, request.nowMs);
        this.prefixes.onChosen(instanceId, request.promptBlocks ?? []);
        return instanceId;
    }

    observe(observation: UpstreamObservation): void {
        this.inFlight.onEnded(observation.instanceId);
        this.ejector.observe(observation);
    }

    /** Takes in an event of an engine's prefix cache. */
    onCacheChange(change: PrefixCacheChange): void {
        this.prefixes.onCacheChange(change);
    }

    private noteListed({ candidates, nowMs }: ChooseRequest): void {
        const isSame = candidates.length === this.seen.length
            && candidates.every((candidate, index) => candidate.instanceId === this.seen[index]);
        if (isSame) {
            return;
        }
        this.seen = candidates.map(candidate => candidate.instanceId);
        this.slowStart.onSeen(this.seen, nowMs);
        this.ejector.retain(this.seen);
        this.prefixes.retain(this.seen);
    }

    /** The candidates that may take the request, from the narrowest non-empty of several circles. */
    private usable({ candidates, role, excluded, nowMs }: ChooseRequest): UpstreamCandidate[] {
        const live = candidates
            .filter(candidate => candidate.state === "live")
            .filter(candidate => candidate.linkState === "open" || candidate.linkState === "suspect")
            .filter(candidate => excluded?.includes(candidate.instanceId) !== true)
            .filter(candidate => playsRole(candidate, role));
        const open = live.filter(candidate => candidate.linkState === "open");
        const healthy = open.filter(candidate => !this.ejector.isEjected(candidate.instanceId, nowMs));
        return [healthy, open, live].find(circle => circle.length > 0) ?? [];
    }

    private loadsOf(
        candidates: readonly UpstreamCandidate[],
        subset: SubsetCache,
        { nowMs }: ChooseRequest,
    ): WeightedLoad[] {
        return subset.select(candidates, nowMs).map(candidate => this.loadOf(candidate, nowMs));
    }

    /** The loads of this entry's zone, or all where the zone has no room compared with the others. */
    private spill(near: WeightedLoad[], far: WeightedLoad[]): WeightedLoad[] {
        if (near.length === 0 || far.length === 0) {
            return [...near, ...far];
        }
        const factor = this.opts.zoneLoadFactor ?? DEFAULT_ZONE_LOAD_FACTOR;
        return meanLoad(near) <= Math.max(1, meanLoad(far)) * factor ? near : [...near, ...far];
    }

    private chooseAmong(loads: WeightedLoad[], request: ChooseRequest): WeightedLoad | undefined {
        const factor = this.opts.affinityLoadFactor ?? DEFAULT_AFFINITY_LOAD_FACTOR;
        const bound = Math.max(1, meanLoad(loads) * factor);
        const roomy = loads.filter(({ load }) => load <= bound);
        return this.holderOfPrefix(roomy, request)
            ?? firstByKey(loads, bound, request)
            ?? leastLoadedOfTwo(roomy, this.opts.random);
    }

    /** The upstream that holds most of the prompt's leading blocks, the less loaded one of several. */
    private holderOfPrefix(roomy: WeightedLoad[], { promptBlocks }: ChooseRequest): WeightedLoad | undefined {
        if (promptBlocks === undefined || promptBlocks.length === 0) {
            return undefined;
        }
        return roomy
            .map(entry => ({ entry, match: this.prefixes.matchOf(entry.candidate.instanceId, promptBlocks) }))
            .filter(({ match }) => match > 0)
            .sort((left, right) => right.match - left.match || left.entry.load - right.entry.load)
            .at(0)?.entry;
    }

    private loadOf(candidate: UpstreamCandidate, nowMs: number): WeightedLoad {
        const weight = this.slowStart.weightOf(candidate.instanceId, nowMs) * (candidate.capacity ?? 1);
        return { candidate, load: (this.inFlight.loadOf(candidate, nowMs) + 1) / weight };
    }
}

/** The first upstream in the order of the request's key that has room: rendezvous hashing with bounded loads. */
function firstByKey(loads: WeightedLoad[], bound: number, request: ChooseRequest): WeightedLoad | undefined {
    const key = request.affinityKey ?? request.promptBlocks?.at(0);
    if (key === undefined) {
        return undefined;
    }
    const byId = new Map(loads.map(entry => [entry.candidate.instanceId, entry]));
    return rendezvousRank(key, [...byId.keys()]).map(id => byId.get(id)!).find(({ load }) => load <= bound);
}

function playsRole(candidate: UpstreamCandidate, role: ChooseRequest["role"]): boolean {
    return role === undefined || candidate.role === undefined || candidate.role === "any" || candidate.role === role;
}

function meanLoad(loads: readonly WeightedLoad[]): number {
    return loads.reduce((sum, { load }) => sum + load, 0) / Math.max(1, loads.length);
}
