// A run that took longer than the retention time of jobs counted each job that was removed after it as lost (seed 90212).
import assert from "node:assert/strict";
import { test } from "node:test";
import { checkJobs } from "../src/checkJobs.js";
import type { JobRecord } from "../src/jobRecord.js";
import { RESULT_RETENTION_MS } from "../src/resultRetentionMs.js";
import { SoakRecord } from "../src/soakRecord.js";

const SUBMITTED_AT_MS = 1000;

/** Returns the violations of a job that a read at `missedAtMs` didn't find. */
function violationsOf(missedAtMs: number, change: Partial<JobRecord>): string[] {
    const record = new SoakRecord();
    record.jobs.push({
        id: "j",
        submittedAtMs: SUBMITTED_AT_MS,
        attemptStatuses: [202],
        acceptedAtMs: SUBMITTED_AT_MS,
        cancelledAtMs: undefined,
        items: [],
        results: [],
        readAtMs: [],
        contradictions: [],
        missedAtMs: [missedAtMs],
        traits: { isInvalid: false },
        ...change,
    } as unknown as JobRecord);
    return checkJobs(record).map(({ promise }) => promise);
}

test("a job that isn't found before its retention time is over is lost, whether or not it has ended", () => {
    const beforeMs = SUBMITTED_AT_MS + RESULT_RETENTION_MS - 1;
    assert.deepEqual(violationsOf(beforeMs, {}), ["job-kept"]);
    assert.deepEqual(violationsOf(beforeMs, { cancelledAtMs: 2000 }), ["job-kept"]);
});

test("a job that isn't found after its retention time is lost unless its caller knows that it has ended", () => {
    const afterMs = SUBMITTED_AT_MS + RESULT_RETENTION_MS;
    const items = [{ id: "i" }] as JobRecord["items"];
    assert.deepEqual(violationsOf(afterMs, { items }), ["job-kept"]);
    assert.deepEqual(violationsOf(afterMs, { items, cancelledAtMs: afterMs + 1 }), ["job-kept"]);
    assert.deepEqual(violationsOf(afterMs, { items, cancelledAtMs: 2000 }), []);
    assert.deepEqual(violationsOf(afterMs, {}), []);
});
