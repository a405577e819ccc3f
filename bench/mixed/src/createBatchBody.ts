import type { Random } from "@knapweedwood/core.random/random";
import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";
import { randomText } from "./randomText.js";
import { sampleLogNormal } from "./sampleLogNormal.js";

const INSTRUCTIONS = "Assess the lot below for the allocation campaign and answer in one paragraph. ".repeat(12);
const LOT_CHARACTERS = { median: 280, sigma: 0.5, min: 80, max: 1200 };
const OUTPUT_TOKENS = { median: 60, sigma: 0.5, min: 12, max: 200 };

/** Creates the request body of one batch item: instructions that all items share, and random text as the lot. */
export function createBatchBody(random: Random, model: string): JsonObject {
    const lot = randomText(random, sampleLogNormal(random, LOT_CHARACTERS));
    return {
        model,
        messages: [{ role: "system", content: INSTRUCTIONS }, { role: "user", content: lot }],
        max_tokens: sampleLogNormal(random, OUTPUT_TOKENS),
        user: "batch",
    };
}
