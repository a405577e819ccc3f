import type { ArmDefinition } from "./armDefinition.js";
import type { ArmFigures } from "./armFigures.js";
import type { SliceRecord } from "./sliceRecord.js";
import { summarizeLatencies } from "./summarizeLatencies.js";
import { sumTotals } from "./sumTotals.js";

const MS_PER_SECOND = 1000;
const SHOWN_FAILURES = 3;

/** Computes the figures of an arm from its slices. Latencies include only calls whose stream ended completely. */
export function armFiguresOf(arm: ArmDefinition, slices: SliceRecord[], boundTokensPerSecond: number): ArmFigures {
    const calls = slices.flatMap(slice => slice.calls);
    const completedCalls = calls.filter(call => call.isWhole);
    const failures = calls.flatMap(call => call.failure ?? (call.isWhole ? [] : "cut off"));
    const measuredMs = slices.reduce((sum, slice) => sum + slice.durationMs, 0);
    const totals = sumTotals(slices.map(slice => slice.totals));
    const batchTokensPerSecond = totals.batchDecodeTokens * MS_PER_SECOND / measuredMs;
    return {
        title: arm.title,
        timeToFirstToken: summarizeLatencies(
            completedCalls.flatMap(call => (call.tokenTimesMs[0] ?? call.dueMs) - call.dueMs),
        ),
        tokenGap: summarizeLatencies(
            completedCalls.flatMap(({ tokenTimesMs }) =>
                tokenTimesMs.slice(1).map((timeMs, index) => timeMs - (tokenTimesMs[index] ?? timeMs))
            ),
        ),
        batchTokensPerSecond,
        onlineTokensPerSecond: (totals.decodeTokens - totals.batchDecodeTokens) * MS_PER_SECOND / measuredMs,
        batchShareOfBound: batchTokensPerSecond / boundTokensPerSecond,
        preemptions: totals.batchCancelled,
        tokensThrownAway: Math.max(0, totals.batchCancelledTokens - totals.batchResumedTokens),
        failedCalls: failures.length,
        failures: failures.slice(0, SHOWN_FAILURES),
        measuredMs,
    };
}
