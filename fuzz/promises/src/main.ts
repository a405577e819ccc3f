import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { parseArgs } from "node:util";
import { fuzzPromises } from "./fuzzPromises.js";

const { values } = parseArgs({
    options: {
        seed: { type: "string", default: "1" },
        runs: { type: "string", default: "50" },
        path: { type: "string" },
        "no-shrink": { type: "boolean", default: false },
    },
});
const clock = new SystemClock();
const startedAtMs = clock.nowMs();
const report = await fuzzPromises({
    seed: Number(values.seed),
    runs: Number(values.runs),
    path: values.path,
    shrinks: !values["no-shrink"],
});
const elapsedMs = Math.round(clock.nowMs() - startedAtMs);
const replay = `npm run fuzz -- --seed ${values.seed} --path ${report.path ?? ""}`;
const message = report.hasFailed
    ? `${report.message ?? ""}\nReplay: ${replay}`
    : `seed ${values.seed}: ${report.runCount} runs passed in ${elapsedMs} ms`;
process.stdout.write(`${message}\n`);
process.exitCode = report.hasFailed ? 1 : 0;
