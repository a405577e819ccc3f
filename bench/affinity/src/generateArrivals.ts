import type { Random } from "@knapweedwood/core.random/random";
import type { PromptArrival } from "./promptArrival.js";

const SYSTEM_PROMPT_COUNT = 80;
const MIN_SYSTEM_PROMPT_CHARACTERS = 1000;
const SYSTEM_PROMPT_RANGE_CHARACTERS = 3000;
const MAX_TURNS = 6;
const TURN_CHARACTERS = 600;
const MEAN_THINK_TIME_MS = 8000;
const MIN_DECODE_MS = 200;
const DECODE_RANGE_MS = 1500;

interface ArrivalOptions {
    conversationsPerSecond: number;
    durationMs: number;
    entryCount: number;
    random: Random;
}

/**
 * Generates the requests of simulated conversations. Each conversation begins with one of many system prompts, of which
 * some are used far more often than others. Each turn repeats all previous turns.
 *
 * @returns requests ordered by arrival time, shape [arrivals]
 */
export function generateArrivals(opts: ArrivalOptions): PromptArrival[] {
    const { random, durationMs } = opts;
    const systemPrompts = Array.from(
        { length: SYSTEM_PROMPT_COUNT },
        (_, index) =>
            repeatToLength(
                `system ${index} `,
                MIN_SYSTEM_PROMPT_CHARACTERS + random.nextInteger(SYSTEM_PROMPT_RANGE_CHARACTERS),
            ),
    );
    const conversationCount = Math.floor(opts.conversationsPerSecond * durationMs / 1000);
    return Array.from({ length: conversationCount }, (_, index) => {
        const rank = Math.floor(SYSTEM_PROMPT_COUNT ** random.next()) - 1;
        const startMs = random.next() * durationMs;
        return Array.from({ length: 1 + random.nextInteger(MAX_TURNS) }, (_unused, turn) => ({
            atMs: Math.floor(startMs + turn * MEAN_THINK_TIME_MS * (0.5 + random.next())),
            prompt: systemPrompts[rank] + repeatToLength(`conversation ${index} `, TURN_CHARACTERS * (turn + 1)),
            decodeMs: MIN_DECODE_MS + DECODE_RANGE_MS * random.next() ** 2,
            entryIndex: random.nextInteger(opts.entryCount),
        }));
    }).flat().filter(({ atMs }) => atMs < durationMs).sort((left, right) => left.atMs - right.atMs);
}

function repeatToLength(seed: string, length: number): string {
    return seed.repeat(Math.ceil(length / seed.length)).slice(0, length);
}
