import type { LoadPattern } from "./loadPattern.js";
import { teamLoadsOf } from "./teamLoadsOf.js";

const DURATION_MS = 40_000;
const FROM_MS = 10_000;
const TO_MS = 30_000;
const BURST_PERIOD_MS = 5200;
const BURST_MS = 2200;
/** Multiple of the teams' usual rates outside the measured span, with the same total as the usual load without teams. */
const OUTSIDE_FACTOR = 0.53;

const isInMeasuredSpan = (nowMs: number) => nowMs >= FROM_MS && nowMs < TO_MS;
const isBurst = (nowMs: number) => nowMs % BURST_PERIOD_MS < BURST_MS;

/** Regular bursts of the usual load, with a mean factor of about 1. */
const usualRateFactor = (nowMs: number) => isBurst(nowMs) ? 1.8 : 0.4;

function patternOf(
    name: string,
    rateFactor: (nowMs: number) => number,
    engineShare: (nowMs: number) => number = () => 1,
    teams?: LoadPattern["teams"],
): LoadPattern {
    return { name, durationMs: DURATION_MS, fromMs: FROM_MS, toMs: TO_MS, rateFactor, engineShare, teams };
}

/** The loads under which the policies are compared. */
export const loadPatterns: readonly LoadPattern[] = [
    patternOf("usual", usualRateFactor),
    patternOf("twice the usual", nowMs => usualRateFactor(nowMs) * (isInMeasuredSpan(nowMs) ? 2 : 1)),
    patternOf("four times the usual", nowMs => usualRateFactor(nowMs) * (isInMeasuredSpan(nowMs) ? 4 : 1)),
    patternOf("steady at the capacity", nowMs => isInMeasuredSpan(nowMs) ? 2.3 : 1),
    patternOf("a third of the engines lost", usualRateFactor, nowMs => isInMeasuredSpan(nowMs) ? 2 / 3 : 1),
    patternOf(
        "twice the usual, a third of the engines lost",
        nowMs => usualRateFactor(nowMs) * (isInMeasuredSpan(nowMs) ? 2 : 1),
        nowMs => isInMeasuredSpan(nowMs) ? 2 / 3 : 1,
    ),
    patternOf(
        "one of 20 teams at seven times its rate",
        () => 1,
        () => 1,
        teamLoadsOf({
            count: 20,
            rateFactor: (index, nowMs) => !isInMeasuredSpan(nowMs) ? OUTSIDE_FACTOR : index === 0 ? 7 : 1,
        }),
    ),
];
