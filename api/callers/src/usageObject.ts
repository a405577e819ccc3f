import type { Usage } from "@knapweedwood/engines.model-engine/usage";

/** Token counts in the published form of the OpenAI API. */
export function usageObject(usage: Usage): object {
    return {
        prompt_tokens: usage.promptTokens,
        completion_tokens: usage.completionTokens,
        total_tokens: usage.promptTokens + usage.completionTokens,
        prompt_tokens_details: { cached_tokens: usage.cachedTokens },
    };
}
