import type { GenerateRequest } from "@knapweedwood/engines.model-engine/generateRequest";
import { promptTextOf } from "@knapweedwood/engines.model-engine/promptTextOf";
import type { Usage } from "@knapweedwood/engines.model-engine/usage";
import type { WorkSize } from "./gateState.js";
import { PrefixIndex } from "./prefixIndex.js";

const INITIAL_CHARACTERS_PER_TOKEN = 4;
const INITIAL_COMPLETION_TOKENS = 64;
const SMOOTHING = 0.05;
/** Prompt tokens that are processed again when a cancelled stream is resumed from the cache. */
const RESUMED_PREFILL_TOKENS = 8;

/** Estimates what requests ask of the engine, and learns from what they turn out to have asked. */
export class WorkEstimator {
    private readonly prefixes = new PrefixIndex();
    private charactersPerToken = INITIAL_CHARACTERS_PER_TOKEN;
    private meanCompletionTokens = INITIAL_COMPLETION_TOKENS;
    /** Share of the prefix tokens expected in the cache that were there. */
    private cacheHitShare = 1;

    /** The size of a request that has not run yet. */
    sizeOf(request: GenerateRequest): WorkSize {
        const prompt = promptTextOf(request.body);
        const promptTokens = prompt.length / this.charactersPerToken;
        const cachedTokens = this.cacheHitShare * this.prefixes.matchCharacters(prompt) / this.charactersPerToken;
        const resumedTokens = request.resumeFrom?.tokenCount ?? 0;
        return {
            prefillTokens: Math.max(1, promptTokens + resumedTokens - cachedTokens),
            kvTokens: promptTokens + this.completionTokensOf(request),
        };
    }

    /** The size of a request whose stream was cancelled here a moment ago. */
    sizeOfResumed(size: WorkSize): WorkSize {
        return { ...size, prefillTokens: Math.min(size.prefillTokens, RESUMED_PREFILL_TOKENS) };
    }

    /** Notes that the engine has processed the prompt of a request. */
    recordProcessed(request: GenerateRequest): void {
        this.prefixes.add(promptTextOf(request.body));
    }

    /** Learns from the token counts of a finished request; `size` is what was estimated. */
    recordUsage(request: GenerateRequest, size: WorkSize, usage: Usage): void {
        if (usage.promptTokens === 0) {
            return;
        }
        const characters = promptTextOf(request.body).length;
        this.charactersPerToken += SMOOTHING * (characters / usage.promptTokens - this.charactersPerToken);
        this.meanCompletionTokens += SMOOTHING * (usage.completionTokens - this.meanCompletionTokens);
        const expectedTokens = usage.promptTokens - size.prefillTokens;
        if (expectedTokens > 0 && request.resumeFrom === undefined) {
            const share = Math.min(1, usage.cachedTokens / expectedTokens);
            this.cacheHitShare += SMOOTHING * (share - this.cacheHitShare);
        }
    }

    private completionTokensOf(request: GenerateRequest): number {
        const limit = request.body.max_completion_tokens ?? request.body.max_tokens;
        return typeof limit === "number" ? limit : this.meanCompletionTokens;
    }
}
