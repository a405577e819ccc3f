import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { parseArgs } from "node:util";
import { runSoak } from "./runSoak.js";

const DEFAULT_MINUTES = "0.4";
const DEFAULT_PROCESSES = "7";
const DEFAULT_CRASHING_SHARE = "0.7";
const MS_PER_MINUTE = 60_000;

const { values } = parseArgs({
    options: {
        seed: { type: "string", default: "1" },
        /** Number of consecutive seeds, run one after the other. */
        seeds: { type: "string", default: "1" },
        processes: { type: "string", default: DEFAULT_PROCESSES },
        minutes: { type: "string", default: DEFAULT_MINUTES },
        /** Share of the seeds with a request that ends upstreams; 0 leaves it out. */
        crashing: { type: "string", default: DEFAULT_CRASHING_SHARE },
    },
});
const root = path.resolve(import.meta.dirname, "../../../..");
const first = Number(values.seed);
for (const seed of Array.from({ length: Number(values.seeds) }, (_, index) => first + index)) {
    const folder = mkdtempSync(path.join(tmpdir(), `soak-${seed}-`));
    const report = await runSoak({
        root,
        folder,
        seed,
        processes: Number(values.processes),
        crashingShare: Number(values.crashing),
        faultMs: Number(values.minutes) * MS_PER_MINUTE,
    });
    const { violations, faults, ...figures } = report;
    const summary = { ...figures, faults: faults.length, violations: violations.length };
    process.stdout.write(`${JSON.stringify(summary)}\n`);
    if (violations.length > 0) {
        const details = violations.slice(0, 10).map(({ promise, detail }) => `  ${promise}: ${detail}`);
        process.stdout.write(`${[...details, ...faults.map(line => `  ${line}`), `  logs in ${folder}`].join("\n")}\n`);
        process.exitCode = 1;
    }
}
