import { writeReport } from "@knapweedwood/bench.load/writeReport";
import { parseArgs } from "node:util";
import { overheadSections } from "./overheadSections.js";
import { runOverhead } from "./runOverhead.js";

// node main.js [--json FILE] [--html FILE] [--seconds N] [--rounds N] [--engines N] [--seed N] [--profile FOLDER]
const { values } = parseArgs({
    options: {
        json: { type: "string" },
        html: { type: "string" },
        seconds: { type: "string" },
        rounds: { type: "string" },
        engines: { type: "string" },
        seed: { type: "string" },
        profile: { type: "string" },
    },
});
const numberOf = (text: string | undefined) => text === undefined ? undefined : Number(text);
const report = await runOverhead({
    seconds: numberOf(values.seconds),
    seed: numberOf(values.seed),
    rounds: numberOf(values.rounds),
    engineCount: numberOf(values.engines),
    folder: values.profile,
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
