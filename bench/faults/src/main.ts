import { writeFile } from "node:fs/promises";
import { parseArgs } from "node:util";
import { runFaults } from "./runFaults.js";

// Runs the experiment:
// node main.js [--json FILE] [--seconds N] [--items N] [--calls N] [--receipts N] [--seed N] [--folder FOLDER]
const { values } = parseArgs({
    options: {
        json: { type: "string" },
        seconds: { type: "string" },
        items: { type: "string" },
        calls: { type: "string" },
        receipts: { type: "string" },
        seed: { type: "string" },
        folder: { type: "string" },
    },
});
const numberOf = (text: string | undefined) => text === undefined ? undefined : Number(text);
const report = await runFaults({
    seconds: numberOf(values.seconds),
    itemCount: numberOf(values.items),
    keyedCallCount: numberOf(values.calls),
    receiptCount: numberOf(values.receipts),
    seed: numberOf(values.seed),
    folder: values.folder,
});
const text = `${JSON.stringify(report, undefined, 4)}\n`;
if (values.json !== undefined) {
    await writeFile(values.json, text);
}
process.stdout.write(text);
process.exitCode = report.holds ? 0 : 1;
