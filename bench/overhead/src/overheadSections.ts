import type { ReportSection } from "@knapweedwood/bench.load/reportSection";
import type { OverheadReport } from "./overheadReport.js";

/** Returns the report's tables and plots. */
export function overheadSections(report: OverheadReport): ReportSection[] {
    const { requests, tokens, firstToken } = report;
    return [
        {
            kind: "table",
            title: "Targets",
            columns: ["figure", "target", "measured", "met"],
            rows: report.targets.map(target => [target.name, target.target, target.measured, String(target.isMet)]),
        },
        {
            kind: "table",
            title: "Rates, mean of the rounds",
            columns: ["path", "requests/s", "streamed tokens/s"],
            rows: [
                ["direct", requests.direct.meanPerS, tokens.direct.meanPerS],
                ["pass-through", requests.passThrough.meanPerS, tokens.passThrough.meanPerS],
                ["side and entry", requests.entry.meanPerS, tokens.entry.meanPerS],
            ],
        },
        {
            kind: "table",
            title: `Time to first token in ms at ${firstToken.offeredPerS.toFixed(0)} streams/s`,
            columns: ["path", "count", "p50", "p90", "p99", "p99.9"],
            rows: ([
                ["direct", firstToken.direct],
                ["pass-through", firstToken.passThrough],
                ["side and entry", firstToken.entry],
            ] as const).map((
                [name, latency],
            ) => [
                name,
                latency.count,
                latency.p50Ms,
                latency.p90Ms,
                latency.p99Ms,
                latency.p999Ms,
            ]),
        },
        {
            kind: "plot",
            title: "Requests a second by round",
            xLabel: "round",
            yLabel: "requests/s",
            series: [
                { name: "direct", points: pointsOf(requests.direct.roundsPerS) },
                { name: "pass-through", points: pointsOf(requests.passThrough.roundsPerS) },
                { name: "side and entry", points: pointsOf(requests.entry.roundsPerS) },
            ],
        },
    ];
}

function pointsOf(values: number[]): { x: number; y: number; }[] {
    return values.map((y, index) => ({ x: index + 1, y }));
}
