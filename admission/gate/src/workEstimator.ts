import type { GenerateRequest } from "@knapweedwood/engines.model-engine/generateRequest";
import { promptTextOf } from "@knapweedwood/engines.model-engine/promptTextOf";
import type { Usage } from "@knapweedwood/engines.model-engine/usage";
import { EnginePrefixIndex } from "./enginePrefixIndex.js";
import type { WorkSize } from "./gateState.js";

const INITIAL_CHARACTERS_PER_TOKEN = 4;
const INITIAL_COMPLETION_TOKENS = 64;
const SMOOTHING = 0.05;
/** Prompt tokens that are processed again when a cancelled stream is resumed from the cache. */
const RESUMED_PREFILL_TOKENS = 8;

/** Estimates the resources that requests need in the engine, and adapts to the usage of finished requests. */
export class WorkEstimator {
    private readonly prefixes = new EnginePrefixIndex();
    private charactersPerToken = INITIAL_CHARACTERS_PER_TOKEN;
    private meanCompletionTokens = INITIAL_COMPLETION_TOKENS;
    /** Share of the prefix tokens expected in the cache that were found there. */
    private cacheHitShare = 1;

    /** Returns the estimated size of a request that has not run yet. */
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

    /** Returns the size of a request whose stream was just cancelled here. Its prompt is still cached. */
    sizeOfResumed(size: WorkSize): WorkSize {
        return { ...size, prefillTokens: Math.min(size.prefillTokens, RESUMED_PREFILL_TOKENS) };
    }

    /** Records that the engine has processed the prompt of a request. */
    recordProcessed(request: GenerateRequest): void {
        this.prefixes.add(promptTextOf(request.body));
    }

    /** Updates the estimates with the token counts of a finished request. `size` is the earlier estimate. */
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
