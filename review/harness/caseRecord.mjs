import { appendFileSync, writeFileSync } from "node:fs";

/** What was sent, answered and run. Each line is written at once, so that a case that is ended from outside has a record too. */
export class CaseRecord {
    #startedAtMs = Date.now();
    #file;

    /** @param file is replaced */
    constructor(file) {
        this.#file = file;
        writeFileSync(file, "");
    }

    /** Adds a line with the time since the start, in seconds. */
    add(text) {
        const seconds = ((Date.now() - this.#startedAtMs) / 1000).toFixed(3).padStart(8);
        appendFileSync(this.#file, `${seconds} ${text}\n`);
    }

    /** Adds the verdict, and prints it. */
    finish(verdict) {
        this.add(verdict);
        console.log(verdict);
    }
}
