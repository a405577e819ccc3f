import type { Random } from "@knapweedwood/core.random/random";
import type { UnequalLoad } from "./unequalLoad.js";

const ENGINES = 33;
const FAST_ENGINES = 8;
const FAST = 0.55;
const USUAL = 1.2;
const SLOWED = 2.5;
const SLOWED_SHARE = 0.15;
const PHASE_MS = 600;
/** Slowness of equal engines that together are as fast as the unequal ones. */
const EQUAL = ENGINES
    / ((FAST_ENGINES / FAST + (ENGINES - FAST_ENGINES) / USUAL) * (1 - SLOWED_SHARE + SLOWED_SHARE / SLOWED));

/** Returns the slowness of an engine that is slowed from time to time. */
function intermittent(base: number, random: Random, durationMs: number): (nowMs: number) => number {
    const offsetMs = random.next() * PHASE_MS;
    const isSlowed = Array.from({ length: durationMs / PHASE_MS + 2 }, () => random.next() < SLOWED_SHARE);
    return nowMs => isSlowed[Math.floor((nowMs + offsetMs) / PHASE_MS)]! ? base * SLOWED : base;
}

function unequalEngines(random: Random, durationMs: number): ((nowMs: number) => number)[] {
    return Array.from(
        { length: ENGINES },
        (_, index) => intermittent(index < FAST_ENGINES ? FAST : USUAL, random, durationMs),
    );
}

const common = { requestsPerS: 160, durationMs: 20_000, fromMs: 3000 };

/** The loads under which placement by speed is compared with placement by the numbers of requests. */
export const unequalLoads = {
    /** A quarter of the engines is fast, and each is slowed from time to time. */
    unequal: { ...common, engines: random => unequalEngines(random, common.durationMs) },
    /** From 8 s on, a fifth of the engines takes 7.6 times as long. */
    persistentlySlow: {
        ...common,
        engines: random =>
            unequalEngines(random, common.durationMs).map((slowness, index) => nowMs =>
                slowness(nowMs) * (index % 5 === 2 && nowMs >= 8000 ? 7.6 : 1)
            ),
    },
    /** An engine that is slow restarts with the mean speed. */
    restarted: {
        ...common,
        engines: random =>
            unequalEngines(random, common.durationMs).map((slowness, index) => index === 20 ? () => 6 : slowness),
        restart: { atMs: 8000, engine: 20 },
    },
    /** As many engines of equal speed, together as fast. */
    equal: { ...common, engines: () => Array.from({ length: ENGINES }, () => () => EQUAL) },
} satisfies { [name: string]: UnequalLoad; };
