import { writeFileSync } from "node:fs";
import path from "node:path";

/** What was sent, answered and run, written to `record.txt` in the folder of the case. */
export class CaseRecord {
    #lines = [];
    #startedAtMs = Date.now();
    #file;

    constructor(folder) {
        this.#file = path.join(folder, "record.txt");
    }

    /** Adds a line with the time since the start, in seconds. */
    add(text) {
        const seconds = ((Date.now() - this.#startedAtMs) / 1000).toFixed(3).padStart(8);
        this.#lines.push(`${seconds} ${text}`);
    }

    /** Writes the record and the verdict. */
    write(verdict) {
        this.add(verdict);
        writeFileSync(this.#file, `${this.#lines.join("\n")}\n`);
        console.log(verdict);
    }
}
