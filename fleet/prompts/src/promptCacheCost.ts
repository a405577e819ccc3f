import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import { OWN_REQUEST_WEIGHT } from "@knapweedwood/fleet.load/ownRequestWeight";
import type { PlacementCost } from "@knapweedwood/fleet.load/placementCost";
import type { PlacementRequest } from "@knapweedwood/fleet.load/placementRequest";
import type { UpstreamSpeeds } from "@knapweedwood/fleet.load/upstreamSpeeds";
import type { PromptPart } from "@knapweedwood/fleet.view/promptPart";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import { preferredUpstreams } from "./preferredUpstreams.js";
import { PromptCacheIndex } from "./promptCacheIndex.js";
import type { PromptKeys } from "./promptKeys.js";
import { promptKeysOf } from "./promptKeysOf.js";
import type { PromptRun } from "./promptRun.js";
import { ReadingTime } from "./readingTime.js";

/** Largest saving, as a share of the cost of one more request at the upstream, so that it never outweighs a wait. */
const MAX_SAVING_SHARE = 0.6;
/** Share of the time to read the shared parts that the preferred upstreams save, in order. */
const PREFERENCE_SHARES = [0.5, 0.25];
const NO_PROMPT: PromptRun = { keptTokens: 0, readTokens: 0, onBegun: () => undefined };

/** What is the same for all upstreams of one placement. */
interface PlacedPrompt {
    keys: PromptKeys;
    promptParts: readonly PromptPart[];
    service: ServiceName;
    /** The upstreams preferred for the shared parts, shape [upstreams]. */
    preferred: readonly UpstreamId[];
    perTokenMs: number;
    maxSavingMs: number;
}

interface PromptCacheCostOptions {
    speeds: Pick<UpstreamSpeeds, "firstDataMs" | "slownessOf">;
    /** Returns the upstreams of a service that may be chosen, shape [upstreams]. */
    usableUpstreams: (service: ServiceName) => readonly Upstream[];
    /** Returns the number of processes that place requests. */
    processes: () => number;
}

/**
 * Counts the time that prompt caches save as a negative cost. Load pattern: prompts whose first parts repeat, from
 * callers at all gateways. A small preference for an upstream chosen by hashing lets gateways agree without messages.
 */
export class PromptCacheCost implements PlacementCost {
    private readonly opts: PromptCacheCostOptions;
    private readonly index: PromptCacheIndex;
    private readonly readingTimes = new Map<ServiceName, ReadingTime>();
    /** The prompt of the last call, as the upstreams for one request are compared one after the other. */
    private last: PlacedPrompt | undefined;

    constructor(opts: PromptCacheCostOptions) {
        this.opts = opts;
        this.index = new PromptCacheIndex(opts);
    }

    costOf(upstream: Upstream, { promptParts }: PlacementRequest): number {
        if (promptParts.length === 0) {
            return 0;
        }
        const prompt = this.promptOf(promptParts, upstream.service);
        if (prompt.perTokenMs === 0) {
            return 0;
        }
        const rank = prompt.preferred.indexOf(upstream.id);
        const preference = rank === -1 ? 0 : PREFERENCE_SHARES[rank]! * prompt.keys.sharedTokens;
        const savedTokens = this.index.keptTokens(upstream, prompt.keys) + preference;
        return -Math.min(savedTokens * prompt.perTokenMs, prompt.maxSavingMs);
    }

    /** Begins a request with a prompt at an upstream. */
    begin(upstream: Upstream, promptParts: readonly PromptPart[]): PromptRun {
        if (promptParts.length === 0) {
            return NO_PROMPT;
        }
        const prompt = this.promptOf(promptParts, upstream.service);
        const keptTokens = this.index.keptTokens(upstream, prompt.keys);
        const readTokens = prompt.keys.totalTokens - keptTokens;
        const onBegun = (elapsedMs: number) => {
            this.index.add(upstream, prompt.keys);
            const timeMs = elapsedMs / this.opts.speeds.slownessOf(upstream.id);
            this.readingTimeOf(upstream.service).add({ keptTokens, readTokens, timeMs });
        };
        return { keptTokens, readTokens, onBegun };
    }

    /** Drops what is known of an upstream that has left. */
    forget(id: UpstreamId): void {
        this.index.forget(id);
    }

    private promptOf(promptParts: readonly PromptPart[], service: ServiceName): PlacedPrompt {
        if (this.last?.promptParts === promptParts && this.last.service === service) {
            return this.last;
        }
        const keys = promptKeysOf(promptParts);
        const perTokenMs = this.readingTimes.get(service)?.perTokenMs ?? 0;
        const preferred = keys.sharedTokens === 0 || perTokenMs === 0
            ? []
            : preferredUpstreams(keys.sharedKey, this.opts.usableUpstreams(service));
        const requestCostMs = this.opts.speeds.firstDataMs(service) / OWN_REQUEST_WEIGHT;
        const maxSavingMs = requestCostMs * MAX_SAVING_SHARE;
        this.last = { keys, promptParts, service, preferred, perTokenMs, maxSavingMs };
        return this.last;
    }

    private readingTimeOf(service: ServiceName): ReadingTime {
        const time = this.readingTimes.get(service) ?? new ReadingTime();
        this.readingTimes.set(service, time);
        return time;
    }
}
