import { writeReport } from "@knapweedwood/bench.load/writeReport";
import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { parseArgs } from "node:util";
import { overheadSections } from "./overheadSections.js";
import { runOverhead } from "./runOverhead.js";

// node main.js [--json FILE] [--html FILE] [--seconds N] [--rounds N] [--engines N] [--seed N] [--profile FOLDER]
const MS_PER_S = 1000;

const { values } = parseArgs({
    options: {
        json: { type: "string" },
        html: { type: "string" },
        seconds: { type: "string", default: "3" },
        rounds: { type: "string", default: "3" },
        engines: { type: "string", default: "2" },
        seed: { type: "string", default: "1" },
        profile: { type: "string" },
    },
});
const report = await runOverhead({
    folder: values.profile ?? await mkdtemp(path.join(tmpdir(), "knapweed-overhead-")),
    seed: Number(values.seed),
    phaseMs: Number(values.seconds) * MS_PER_S,
    rounds: Number(values.rounds),
    engineCount: Number(values.engines),
    isProfiled: values.profile !== undefined,
});
await writeReport({
    title: "Overhead of an entry and a side",
    figures: report,
    sections: overheadSections(report),
    jsonFile: values.json,
    htmlFile: values.html,
});
process.stdout.write(`${JSON.stringify(report, undefined, 4)}\n`);
