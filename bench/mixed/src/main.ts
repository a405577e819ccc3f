import { writeReport } from "@knapweedwood/bench.load/writeReport";
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { parseArgs } from "node:util";
import type { ArmName } from "./armName.js";
import { mixedSections } from "./mixedSections.js";
import { runMixed } from "./runMixed.js";
import { steepStepModel } from "./steepStepModel.js";

// node main.js [--json FILE] [--html FILE] [--seconds N] [--seed N] [--arms abcd] [--balance SHARE] [--steep]
//     [--slices FILE] [--metrics PORT]
const MS_PER_SECOND = 1000;

const { values } = parseArgs({
    options: {
        json: { type: "string" },
        html: { type: "string" },
        seconds: { type: "string", default: "230" },
        seed: { type: "string", default: "1" },
        arms: { type: "string", default: "abcd" },
        balance: { type: "string", default: "1" },
        slices: { type: "string" },
        metrics: { type: "string" },
        steep: { type: "boolean", default: false },
    },
});
const { report, slices } = await runMixed({
    folder: await mkdtemp(path.join(tmpdir(), "knapweed-mixed-")),
    seed: Number(values.seed),
    durationMs: Number(values.seconds) * MS_PER_SECOND,
    batchBalance: Number(values.balance),
    stepModel: values.steep ? steepStepModel : undefined,
    metricsPort: values.metrics === undefined ? undefined : Number(values.metrics),
    arms: [...values.arms] as ArmName[],
});
await writeReport({
    title: "Online and batch work on one fleet",
    figures: report,
    sections: mixedSections(report, slices),
    jsonFile: values.json,
    htmlFile: values.html,
});
if (values.slices !== undefined) {
    await writeFile(values.slices, JSON.stringify(slices));
}
process.stdout.write(`${JSON.stringify(report, undefined, 4)}\n`);
