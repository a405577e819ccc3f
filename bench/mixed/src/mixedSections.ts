import type { ReportSection } from "@knapweedwood/bench.load/reportSection";
import type { ArmFigures } from "./armFigures.js";
import type { MixedReport } from "./mixedReport.js";
import type { SliceRecord } from "./sliceRecord.js";

const MS_PER_SECOND = 1000;

/** Returns the report's tables and plots. The plots by second show the last round of arm d. */
export function mixedSections(report: MixedReport, slices: SliceRecord[]): ReportSection[] {
    const arms = Object.entries(report.arms) as [string, ArmFigures][];
    const lastRound = slices.filter(slice => slice.arm === "d").at(-1)?.round;
    const shown = slices.filter(slice => slice.round === lastRound);
    return [
        {
            kind: "table",
            title: "Arm d over arm a, and over the bound",
            columns: ["figure", "value", "least of the rounds", "most", "target"],
            rows: [
                ["time to first token p99", report.ttftP99Ratio, ...spreadCells(report.spread.ttftP99Ratio), "≤ 1.05"],
                ["token gap p99", report.tokenGapP99Ratio, ...spreadCells(report.spread.tokenGapP99Ratio), "≤ 1.05"],
                ["batch share", report.batchShareOfBound, ...spreadCells(report.spread.batchShareOfBound), "≥ 0.92"],
            ],
        },
        {
            kind: "table",
            title: "Arms",
            columns: [
                "arm",
                "TTFT p50 ms",
                "p99",
                "p99.9",
                "gap p50 ms",
                "p99",
                "p99.9",
                "batch tokens/s",
                "share",
                "preemptions",
                "tokens thrown away",
                "failed calls",
            ],
            rows: arms.map(([name, arm]) => [
                `${name}: ${arm.title}`,
                arm.timeToFirstToken.p50Ms,
                arm.timeToFirstToken.p99Ms,
                arm.timeToFirstToken.p999Ms,
                arm.tokenGap.p50Ms,
                arm.tokenGap.p99Ms,
                arm.tokenGap.p999Ms,
                arm.batchTokensPerSecond,
                arm.batchShareOfBound,
                arm.preemptions,
                arm.tokensThrownAway,
                arm.failedCalls,
            ]),
        },
        {
            kind: "plot",
            title: "Throughput against harm",
            xLabel: "batch tokens/s",
            yLabel: "time to first token p99, ms",
            series: arms.map(([name, arm]) => ({
                name: `${name}: ${arm.title}`,
                points: [
                    { x: arm.batchTokensPerSecond, y: arm.timeToFirstToken.p50Ms },
                    { x: arm.batchTokensPerSecond, y: arm.timeToFirstToken.p99Ms },
                ],
            })),
        },
        {
            kind: "plot",
            title: "A round second by second: batch tokens",
            xLabel: "seconds",
            yLabel: "batch tokens/s",
            series: shown.map(slice => ({
                name: slice.arm,
                points: slice.batchTokensBySecond.map((y, x) => ({ x, y })),
            })),
        },
        {
            kind: "plot",
            title: "The same round second by second: online calls",
            xLabel: "seconds",
            yLabel: "calls/s",
            series: shown.slice(0, 1).map(slice => ({ name: "arrivals", points: callsBySecond(slice) })),
        },
    ];
}

function spreadCells(spread: { min: number; max: number; }): [number, number] {
    return [spread.min, spread.max];
}

function callsBySecond(slice: SliceRecord): { x: number; y: number; }[] {
    return slice.batchTokensBySecond.map((_, second) => ({
        x: second,
        y: slice.calls.filter(call => Math.floor((call.dueMs - slice.startMs) / MS_PER_SECOND) === second).length,
    }));
}
