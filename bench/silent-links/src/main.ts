// Runs the benchmark: node main.js [--seconds N] [--seed N] [--json FILE]
import { writeFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { runSilentLinks } from "./runSilentLinks.js";

const { values } = parseArgs({
    options: {
        seconds: { type: "string", default: "20" },
        seed: { type: "string", default: "1" },
        json: { type: "string" },
    },
});
const report = await runSilentLinks({ seconds: Number(values.seconds), seed: Number(values.seed) });
const text = `${JSON.stringify(report, undefined, 4)}\n`;
process.stdout.write(text);
if (values.json !== undefined) {
    writeFileSync(values.json, text);
}
