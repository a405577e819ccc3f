import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import { PrefixCache } from "@knapweedwood/standins.engine/prefixCache";
import type { PromptArrival } from "./promptArrival.js";

const SLOTS = 16;
const CACHE_CAPACITY_TOKENS = 24_000;
const CHARACTERS_PER_TOKEN = 4;
const PREFILL_MS_PER_TOKEN = 0.4;

interface RunningRequest {
    endsAtMs: number;
}

/** Simulates a model engine that prefills one prompt at a time and generates up to 16 responses concurrently. */
export class SimulatedUpstream {
    readonly instanceId: InstanceId;
    /** Prompt tokens of all started requests. */
    promptTokens = 0;
    /** Prompt tokens of started requests that were in the cache. */
    cachedTokens = 0;
    /** Time from arrival to the first token, shape [requests]. */
    readonly firstTokenMs: number[] = [];
    private readonly cache: PrefixCache;
    private readonly queue: PromptArrival[] = [];
    private running: RunningRequest[] = [];
    private prefillUntilMs = 0;

    constructor(instanceId: InstanceId, onCacheChange: (kind: "stored" | "evicted", blockHashes: string[]) => void) {
        this.instanceId = instanceId;
        this.cache = new PrefixCache({ limitTokens: CACHE_CAPACITY_TOKENS, onChange: onCacheChange });
    }

    get runningCount(): number {
        return this.running.length;
    }

    get queuedCount(): number {
        return this.queue.length;
    }

    enqueue(arrival: PromptArrival): void {
        this.queue.push(arrival);
    }

    /** Estimates the time to the first token, in milliseconds, if the prompt were enqueued now. */
    estimateFirstTokenMs(prompt: string, nowMs: number): number {
        const waitingTokens = this.queue.reduce((sum, { prompt: other }) => sum + this.countUncachedTokens(other), 0);
        const prefillMs = (waitingTokens + this.countUncachedTokens(prompt)) * PREFILL_MS_PER_TOKEN;
        const slotWaitMs = Math.max(0, this.running.length + this.queue.length - SLOTS + 1) * PREFILL_MS_PER_TOKEN;
        return Math.max(0, this.prefillUntilMs - nowMs) + prefillMs + slotWaitMs * 1000;
    }

    /** Advances the simulation to `nowMs`. @returns the number of requests that have completed since the last call */
    advance(nowMs: number): number {
        const before = this.running.length;
        this.running = this.running.filter(({ endsAtMs }) => endsAtMs > nowMs);
        const endedCount = before - this.running.length;
        while (this.queue.length > 0 && this.running.length < SLOTS && this.prefillUntilMs <= nowMs) {
            this.start(this.queue.shift()!, nowMs);
        }
        return endedCount;
    }

    private start(arrival: PromptArrival, nowMs: number): void {
        const tokens = Math.ceil(arrival.prompt.length / CHARACTERS_PER_TOKEN);
        const uncachedTokens = this.countUncachedTokens(arrival.prompt);
        this.cache.store(arrival.prompt);
        this.promptTokens += tokens;
        this.cachedTokens += tokens - uncachedTokens;
        this.prefillUntilMs = nowMs + uncachedTokens * PREFILL_MS_PER_TOKEN;
        this.firstTokenMs.push(this.prefillUntilMs - arrival.atMs);
        this.running.push({ endsAtMs: this.prefillUntilMs + arrival.decodeMs });
    }

    private countUncachedTokens(prompt: string): number {
        return Math.ceil(prompt.length / CHARACTERS_PER_TOKEN) - this.cache.matchTokens(prompt);
    }
}
