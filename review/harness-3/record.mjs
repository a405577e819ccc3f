// Writes what a case did and saw to `record.txt`, and runs it with the exit codes that the review asks for.
import { appendFileSync, writeFileSync } from "node:fs";
import path from "node:path";
import process from "node:process";
import { setTimeout } from "node:timers";

const MAX_RUN_MS = 115_000;

export class Record {
    constructor(folder) {
        this.file = path.join(folder, "record.txt");
        this.startedAtMs = Date.now();
        writeFileSync(this.file, "");
    }

    note(text) {
        const seconds = ((Date.now() - this.startedAtMs) / 1000).toFixed(3).padStart(8);
        appendFileSync(this.file, `${seconds} s  ${text}\n`);
    }
}

/**
 * Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
 *
 * @param run called with the record and whether there is a disruption; returns the breaks of the rule, shape [texts]
 */
export async function runCase(folder, run) {
    const record = new Record(folder);
    const hasTrouble = process.env.TROUBLE !== "0";
    record.note(hasTrouble ? "with the disruption" : "without the disruption");
    const fleets = [];
    const end = async code => {
        await Promise.all(fleets.map(fleet => fleet.close()));
        process.exit(code);
    };
    setTimeout(() => {
        record.note("could not run: it took too long");
        void end(2);
    }, MAX_RUN_MS).unref();
    try {
        const breaks = await run({ record, hasTrouble, onFleet: fleet => fleets.push(fleet) });
        breaks.forEach(text => record.note(`BROKEN ${text}`));
        record.note(breaks.length === 0 ? "the rule held" : `the rule was broken ${breaks.length} times`);
        process.stdout.write(`${breaks.length === 0 ? "held" : `broken: ${breaks[0]}`}\n`);
        await end(breaks.length === 0 ? 0 : 1);
    }
    catch (error) {
        record.note(`could not run: ${error.stack}`);
        process.stderr.write(`could not run: ${error.message}\n`);
        await end(2);
    }
}
