// Runs the benchmark:
// node main.js [--seconds N] [--seed N] [--rate N] [--upstreams N] [--entries N] [--factor N] [--json FILE]
import { writeFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { runAffinity } from "./runAffinity.js";

const { values } = parseArgs({
    options: {
        seconds: { type: "string", default: "120" },
        seed: { type: "string", default: "1" },
        rate: { type: "string", default: "9" },
        upstreams: { type: "string", default: "12" },
        entries: { type: "string", default: "3" },
        factor: { type: "string", default: "1.6" },
        json: { type: "string" },
    },
});
const report = runAffinity({
    seconds: Number(values.seconds),
    seed: Number(values.seed),
    conversationsPerSecond: Number(values.rate),
    upstreamCount: Number(values.upstreams),
    entryCount: Number(values.entries),
    affinityLoadFactor: Number(values.factor),
});
const text = `${JSON.stringify(report, undefined, 4)}\n`;
process.stdout.write(text);
if (values.json !== undefined) {
    writeFileSync(values.json, text);
}
