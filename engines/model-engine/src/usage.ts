/** Token counts of one generation. */
export interface Usage {
    promptTokens: number;
    completionTokens: number;
    /** Prompt tokens found in the engine's prefix cache. */
    cachedTokens: number;
}
