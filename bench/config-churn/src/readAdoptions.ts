import type { Adoption } from "./adoption.js";

const EVENT = '"event":"configuration-adopted"';

/** Returns the revisions that a process adopted according to its log, in the order of the log. */
export function readAdoptions(log: string): Adoption[] {
    return log
        .split("\n")
        .filter(line => line.includes(EVENT))
        .map(line => JSON.parse(line) as { time: string; revision: number; ageMs: number; })
        .map(line => ({ revision: line.revision, atMs: Date.parse(line.time), ageMs: line.ageMs }));
}
