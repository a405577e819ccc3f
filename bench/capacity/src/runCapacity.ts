import { readFile, writeFile } from "node:fs/promises";
import type { CapacityOptions } from "./capacityOptions.js";
import type { CapacityReport } from "./capacityReport.js";
import { capacityRows } from "./capacityRows.js";
import { fillPage } from "./fillPage.js";
import { keyValueTotals } from "./keyValueTotals.js";
import { measureBatch } from "./measureBatch.js";
import { measureBatchIdle } from "./measureBatchIdle.js";
import { measureConfiguration } from "./measureConfiguration.js";
import { measureDistribution } from "./measureDistribution.js";
import { measureLinks } from "./measureLinks.js";
import type { Measurement } from "./measurement.js";
import { measurePlanner } from "./measurePlanner.js";
import { measureRelay } from "./measureRelay.js";
import { measureSegments } from "./measureSegments.js";
import { renderTables } from "./renderTables.js";

const FULL_SIZES = {
    processes: [10, 40, 160],
    children: [4, 8, 16],
    teams: [100, 1_000, 10_000],
    upstreams: [100, 1_000, 10_000],
    segments: [1, 10, 100],
    items: [1_000, 10_000, 100_000, 340_000],
    jobs: [1, 10, 100],
    entries: [2, 8, 32],
    durationMs: 10_000,
};
const QUICK_SIZES: typeof FULL_SIZES = {
    processes: [5, 10, 20],
    children: [1, 2, 4],
    teams: [100, 500, 1_000],
    upstreams: [100, 500, 1_000],
    segments: [1, 5, 10],
    items: [500, 1_000, 2_000],
    jobs: [1, 5, 10],
    entries: [2, 4, 8],
    durationMs: 1_000,
};

/** Measures the quantities from which docs/CAPACITY.md computes the costs, and fills its tables. */
export async function runCapacity(opts: CapacityOptions): Promise<CapacityReport> {
    const sizes = opts.isQuick === true ? QUICK_SIZES : FULL_SIZES;
    const measurements: Measurement[] = [];
    for (const [name, measure] of measurementSteps(sizes)) {
        opts.onProgress?.(`measuring ${name}`);
        measurements.push(...await measure());
    }
    const rows = capacityRows(measurements);
    const report = { measuredAt: new Date().toISOString(), measurements, rows, keyValueTotals: keyValueTotals(rows) };
    if (opts.jsonFile !== undefined) {
        await writeFile(opts.jsonFile, `${JSON.stringify(report, undefined, 4)}\n`);
    }
    if (opts.pageFile !== undefined) {
        const page = await readFile(opts.pageFile, "utf8");
        await writeFile(opts.pageFile, fillPage(page, renderTables({ ...report, totals: report.keyValueTotals })));
    }
    return report;
}

function measurementSteps(sizes: typeof FULL_SIZES): [string, () => Promise<Measurement[]>][] {
    const { durationMs } = sizes;
    return [
        ["planning", () => Promise.resolve(measurePlanner({ sizes: sizes.upstreams }))],
        ["segments", () => measureSegments({ sizes: sizes.segments })],
        ["configurations", () => measureConfiguration({ sizes: sizes.teams })],
        ["batch roles at rest", () => measureBatchIdle({ sizes: sizes.entries })],
        ["batch jobs", () => measureBatch({ itemSizes: sizes.items, jobSizes: sizes.jobs })],
        ["links", () => measureLinks({ sizes: sizes.processes, durationMs })],
        ["relays", () => measureRelay({ sizes: sizes.children, durationMs })],
        ["distribution", () => measureDistribution({ sizes: sizes.processes, durationMs })],
    ];
}
