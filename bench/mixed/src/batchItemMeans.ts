import { promptTextOf } from "@knapweedwood/engines.model-engine/promptTextOf";
import { countTokens } from "@knapweedwood/standins.engine/countTokens";
import { createBatchBody } from "./createBatchBody.js";
import { createRandom } from "./createRandom.js";

const SAMPLES = 2000;
const SEED = 1;
const BLOCK_TOKENS = 16;

/** Estimates the mean size of a batch item: prompt tokens outside the shared prefix, and output tokens. */
export function batchItemMeans(): { prefillTokens: number; outputTokens: number; } {
    const random = createRandom(SEED);
    const bodies = Array.from({ length: SAMPLES }, () => createBatchBody(random, "bench"));
    const prompts = bodies.map(promptTextOf);
    const sharedTokens = Math.floor(countTokens(commonPrefix(prompts)) / BLOCK_TOKENS) * BLOCK_TOKENS;
    return {
        prefillTokens: meanOf(prompts.map(countTokens)) - sharedTokens,
        outputTokens: meanOf(bodies.map(body => Number(body.max_tokens))),
    };
}

function commonPrefix(texts: string[]): string {
    const [first = "", ...rest] = texts;
    const length = [...first].findIndex((character, index) => rest.some(text => text[index] !== character));
    return first.slice(0, length === -1 ? first.length : length);
}

function meanOf(values: number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}
