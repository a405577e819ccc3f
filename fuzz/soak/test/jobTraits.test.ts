// Guards against a soak whose odd jobs are all alike, or whose check of their acceptance finds nothing.
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import assert from "node:assert/strict";
import { test } from "node:test";
import { checkJobs } from "../src/checkJobs.js";
import { drawJobTraits } from "../src/drawJobTraits.js";
import type { JobRecord } from "../src/jobRecord.js";
import { SoakRecord } from "../src/soakRecord.js";

const SEED = 20_261_207;
const JOBS = 500;

test("plain, odd, large and invalid jobs are drawn", () => {
    const random = new SeededRandom(SEED);
    const drawn = Array.from({ length: JOBS }, () => drawJobTraits(random));
    const odd = drawn.filter(({ isInvalid, items, headers }) => !isInvalid && items === undefined && "Host" in headers);
    const counts = [
        drawn.filter(({ headers }) => Object.keys(headers).length === 0).length,
        odd.length,
        drawn.filter(({ items }) => items !== undefined).length,
        drawn.filter(({ isInvalid }) => isInvalid).length,
    ];
    assert.equal(counts.every(count => count > 10), true, counts.join());
});

test("an invalid job that is accepted and a sound one that is rejected as invalid are violations", () => {
    const violationsOf = (isInvalid: boolean, statuses: number[]) => {
        const record = new SoakRecord();
        record.jobs.push({
            id: "j",
            traits: { headers: {}, items: undefined, isInvalid },
            attemptStatuses: statuses,
        } as unknown as JobRecord);
        return checkJobs(record).map(({ promise }) => promise);
    };
    const violation = ["only-runnable-jobs-accepted"];
    assert.deepEqual([violationsOf(true, [503, 202]), violationsOf(false, [503, 400])], [violation, violation]);
    assert.deepEqual([violationsOf(true, [503, 400]), violationsOf(false, [503, 202])], [[], []]);
});
