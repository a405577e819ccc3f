import type { StepModel } from "@knapweedwood/standins.engine/stepModel";
import type { ArmDefinition } from "./armDefinition.js";
import { armFiguresOf } from "./armFiguresOf.js";
import { batchItemMeans } from "./batchItemMeans.js";
import { idleCapacityTokens } from "./idleCapacityTokens.js";
import type { MixedReport } from "./mixedReport.js";
import type { SliceRecord } from "./sliceRecord.js";
import type { Spread } from "./spread.js";
import { sumTotals } from "./sumTotals.js";

const MS_PER_SECOND = 1000;

interface ReportContext {
    seed: number;
    engines: number;
    stepModel: StepModel;
    tokenGapObjectiveMs: number;
    arms: ArmDefinition[];
}

/** Computes the report of the experiment from its slices. */
export function mixedReportOf(slices: SliceRecord[], context: ReportContext): MixedReport {
    const overall = ratiosOf(slices, context);
    const rounds = [...new Set(slices.filter(slice => slice.arm === "d").map(slice => slice.round))];
    const byRound = rounds.map(round => ratiosOf(slices.filter(slice => slice.round === round), context));
    return {
        seed: context.seed,
        seconds: slices.reduce((sum, slice) => sum + slice.durationMs, 0) / MS_PER_SECOND,
        engines: context.engines,
        ...overall.ratios,
        boundTokensPerSecond: overall.boundTokensPerSecond,
        rounds: rounds.length,
        spread: {
            ttftP99Ratio: spreadOf(byRound.map(({ ratios }) => ratios.ttftP99Ratio)),
            tokenGapP99Ratio: spreadOf(byRound.map(({ ratios }) => ratios.tokenGapP99Ratio)),
            batchShareOfBound: spreadOf(byRound.map(({ ratios }) => ratios.batchShareOfBound)),
        },
        arms: overall.arms,
    };
}

function ratiosOf(slices: SliceRecord[], context: ReportContext) {
    const boundTokensPerSecond = boundOf(slices.filter(slice => slice.arm === "a"), context);
    const arms: MixedReport["arms"] = Object.fromEntries(
        context.arms.map(arm => [
            arm.name,
            armFiguresOf(arm, slices.filter(slice => slice.arm === arm.name), boundTokensPerSecond),
        ]),
    );
    const { a, d } = arms;
    const ratio = (figure: "timeToFirstToken" | "tokenGap") => (d?.[figure].p99Ms ?? 0) / (a?.[figure].p99Ms ?? 0);
    return {
        arms,
        boundTokensPerSecond,
        ratios: {
            ttftP99Ratio: ratio("timeToFirstToken"),
            tokenGapP99Ratio: ratio("tokenGap"),
            batchShareOfBound: d?.batchShareOfBound ?? 0,
        },
    };
}

function boundOf(slices: SliceRecord[], context: ReportContext): number {
    const measuredMs = slices.reduce((sum, slice) => sum + slice.durationMs, 0);
    const tokens = idleCapacityTokens({
        stepModel: context.stepModel,
        objectiveMs: context.tokenGapObjectiveMs,
        durationMs: measuredMs * context.engines,
        online: sumTotals(slices.map(slice => slice.totals)),
        batchItem: batchItemMeans(),
    });
    return tokens * MS_PER_SECOND / measuredMs;
}

function spreadOf(figures: number[]): Spread {
    return { min: Math.min(...figures), max: Math.max(...figures) };
}
