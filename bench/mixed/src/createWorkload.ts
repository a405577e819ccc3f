import type { Random } from "@knapweedwood/core.random/random";
import { createRandom } from "./createRandom.js";
import type { OnlineArrival } from "./onlineArrival.js";
import { randomText } from "./randomText.js";
import { sampleLogNormal } from "./sampleLogNormal.js";
import type { WorkloadOptions } from "./workloadOptions.js";

const MS_PER_SECOND = 1000;
const SHARED_PREFIXES = 4;
const SHARED_PREFIX_CHARACTERS = 512;
const PROMPT_CHARACTERS = { median: 480, sigma: 0.9, min: 40, max: 8000 };
const OUTPUT_TOKENS = { median: 24, sigma: 0.8, min: 4, max: 200 };
/** Amplitude of the base rate as a share of its mean. One daily cycle spans the workload. */
const DIURNAL_SHARE = 0.4;

/**
 * Creates open-loop arrivals with a diurnal base rate, bursts of seconds, heavy-tailed lengths and shared prefixes.
 *
 * @returns arrivals by ascending time, shape [arrivals]
 */
export function createWorkload(opts: WorkloadOptions): OnlineArrival[] {
    const random = createRandom(opts.seed);
    const texts = createRandom(opts.textSeed);
    const prefixes = Array.from({ length: SHARED_PREFIXES }, () => randomText(texts, SHARED_PREFIX_CHARACTERS));
    const bursts = createBursts(random, opts);
    const peakRate = opts.baseRatePerSecond * (1 + DIURNAL_SHARE) * opts.burstFactor;
    const arrivals: OnlineArrival[] = [];
    for (let atMs = gapMs(random, peakRate); atMs < opts.durationMs; atMs += gapMs(random, peakRate)) {
        if (random.next() < rateAt(atMs, opts, bursts) / peakRate) {
            arrivals.push(createArrival(random, { atMs, prefixes, texts, opts, index: arrivals.length }));
        }
    }
    return arrivals;
}

interface Burst {
    startMs: number;
    endMs: number;
}

function createBursts(random: Random, opts: WorkloadOptions): Burst[] {
    const bursts: Burst[] = [];
    let startMs = gapMs(random, MS_PER_SECOND / opts.burstEveryMs);
    while (startMs < opts.durationMs) {
        const endMs = startMs + opts.burstDurationMs * (0.5 + random.next());
        bursts.push({ startMs, endMs });
        startMs = endMs + gapMs(random, MS_PER_SECOND / opts.burstEveryMs);
    }
    return bursts;
}

function rateAt(atMs: number, opts: WorkloadOptions, bursts: Burst[]): number {
    const isBurst = bursts.some(burst => atMs >= burst.startMs && atMs < burst.endMs);
    const diurnal = 1 + DIURNAL_SHARE * Math.sin(2 * Math.PI * atMs / opts.durationMs);
    return opts.baseRatePerSecond * diurnal * (isBurst ? opts.burstFactor : 1);
}

function gapMs(random: Random, ratePerSecond: number): number {
    return -Math.log(1 - random.next()) * MS_PER_SECOND / ratePerSecond;
}

function createArrival(
    random: Random,
    context: { atMs: number; prefixes: string[]; texts: Random; opts: WorkloadOptions; index: number; },
): OnlineArrival {
    const prefix = context.prefixes[random.nextInteger(context.prefixes.length)];
    const question = randomText(context.texts, sampleLogNormal(random, PROMPT_CHARACTERS));
    const outputTokens = sampleLogNormal(random, OUTPUT_TOKENS);
    const body = {
        model: context.opts.model,
        messages: [{ role: "system", content: prefix }, { role: "user", content: question }],
        max_tokens: outputTokens,
        user: `online-${context.index}`,
    };
    return { atMs: context.atMs, outputTokens, request: { endpoint: "/v1/chat/completions", body } };
}
