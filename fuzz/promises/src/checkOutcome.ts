import type { JobRecord } from "@knapweedwood/batch.jobs/jobRecord";
import { KeyValueBatchService } from "@knapweedwood/batch.jobs/keyValueBatchService";
import type { FileId } from "@knapweedwood/core.ids/fileId";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";
import type { FuzzCase } from "./fuzzCase.js";
import { promiseViolation } from "./promiseViolation.js";
import type { Submission } from "./submission.js";
import { upstreamResponse } from "./upstreamResponse.js";

const TEAM = "team-a" as TeamId;
const JOB_END_STEP_MS = 10_000;
const MAX_JOB_END_STEPS = 60;

interface OutputLine {
    custom_id: string;
    response: { status_code: number; body: JsonObject; } | null;
    error: { code: string; } | null;
}

/**
 * Ends all faults, waits for the jobs to end and compares their results with the submitted items.
 *
 * Then it cancels another job, while no fault is active. Rejects with `PROMISE_BROKEN` where a promise doesn't hold.
 */
export async function checkOutcome(fuzzCase: FuzzCase): Promise<void> {
    fuzzCase.fleet.clearFaults();
    await waitForJobEnds(fuzzCase);
    await fuzzCase.oracle.check();
    for (const submission of fuzzCase.oracle.submissions) {
        await checkSubmission(fuzzCase, submission);
    }
    checkKeyedCalls(fuzzCase);
    await fuzzCase.runCancelWithoutFaults();
}

async function waitForJobEnds(fuzzCase: FuzzCase): Promise<void> {
    for (let step = 0; step < MAX_JOB_END_STEPS; step++) {
        await fuzzCase.fleet.advance(JOB_END_STEP_MS);
        await fuzzCase.oracle.check();
        const jobs = await Promise.all(
            fuzzCase.oracle.acknowledgedSubmissions().map(submission => readJob(fuzzCase, submission)),
        );
        if (step > 0 && jobs.every(job => ["completed", "cancelled", "failed"].includes(job.state))) {
            return;
        }
    }
    const states = await Promise.all(
        fuzzCase.oracle.acknowledgedSubmissions().map(submission => readJob(fuzzCase, submission)),
    );
    throw promiseViolation("accepted jobs come to their end", states);
}

async function checkSubmission(fuzzCase: FuzzCase, submission: Submission): Promise<void> {
    if (submission.jobId === undefined) {
        await checkRejectedSubmission(fuzzCase, submission);
        return;
    }
    const job = await readJob(fuzzCase, submission);
    const output = await fuzzCase.fleet.runUntilSettled(readLines(fuzzCase, job.outputFileId));
    const errors = await fuzzCase.fleet.runUntilSettled(readLines(fuzzCase, job.errorFileId));
    const customIds = [...output, ...errors].map(line => line.custom_id);
    const expected = submission.bodies.map((_, index) => `c${index}`);
    if (new Set(customIds).size !== customIds.length) {
        throw promiseViolation("no item completes twice", { job, customIds });
    }
    if (job.state === "completed" && customIds.length !== expected.length) {
        throw promiseViolation("no item is lost", { job, customIds });
    }
    if (job.state !== "completed" && !submission.cancelWasSent) {
        throw promiseViolation("only a cancelled job ends early", { job });
    }
    output.forEach(line => checkOutputLine(submission, line));
    errors.forEach(line => checkErrorLine(submission, line));
    checkOrder(output);
    checkOrder(errors);
}

function checkOutputLine(submission: Submission, line: OutputLine): void {
    const body = submission.bodies[Number(line.custom_id.slice(1))];
    if (JSON.stringify(line.response?.body) !== JSON.stringify(upstreamResponse(body))) {
        throw promiseViolation("each item has its own answer", { line, body });
    }
}

/**
 * Checks that an item failed for an allowed reason: its behaviour (not `answer`), lost upstreams or used-up attempts.
 *
 * A non-repeatable item may also end with an unknown outcome.
 */
function checkErrorLine(submission: Submission, line: OutputLine): void {
    const index = Number(line.custom_id.slice(1));
    const { behaviour } = submission.bodies[index];
    const isNonRepeatable = submission.endpoint.startsWith("/services/");
    const isOutcomeUnknown = isNonRepeatable && line.error?.code === "outcome_unknown";
    const isUpstreamLost = line.error?.code === "upstreams_lost" || line.error?.code === "attempts_exhausted";
    const isExpected = behaviour !== "answer" || isOutcomeUnknown || isUpstreamLost;
    if (!isExpected) {
        throw promiseViolation("a good item does not fail", { line });
    }
}

function checkOrder(lines: OutputLine[]): void {
    const indexes = lines.map(line => Number(line.custom_id.slice(1)));
    if (indexes.some((index, position) => position > 0 && index <= indexes[position - 1])) {
        throw promiseViolation("results stand in the items' order", indexes);
    }
}

/** Checks that a job doesn't exist if every request for it was rejected as not run. */
async function checkRejectedSubmission(fuzzCase: FuzzCase, submission: Submission): Promise<void> {
    if (submission.sentCount !== submission.notRunCount) {
        return;
    }
    const jobs = await batchServiceOf(fuzzCase).listJobs({ teamId: TEAM, limit: 200 });
    const found = jobs.find(job => job.inputFileId === submission.inputFileId);
    if (found !== undefined) {
        throw promiseViolation("a job refused as not run was not accepted", found);
    }
}

/** Checks that a keyed call with an `answered` outcome has run at its upstream. */
function checkKeyedCalls(fuzzCase: FuzzCase): void {
    const keys = new Set(fuzzCase.oracle.keyedCalls.map(call => call.key));
    keys.forEach(key => {
        const calls = fuzzCase.oracle.keyedCalls.filter(call => call.key === key);
        const runCount = fuzzCase.fleet.platform.upstreams.countOf(`keyed/${key}`);
        if (runCount === 0 && calls.some(call => call.outcome === "answered")) {
            throw promiseViolation("an answer comes from a run", { key, calls });
        }
    });
}

async function readLines(fuzzCase: FuzzCase, fileId: FileId | undefined): Promise<OutputLine[]> {
    if (fileId === undefined) {
        return [];
    }
    const chunks: Uint8Array[] = [];
    for await (const chunk of batchServiceOf(fuzzCase).readFile({ teamId: TEAM, fileId })) {
        chunks.push(chunk);
    }
    const text = Buffer.concat(chunks).toString("utf8").trimEnd();
    return text.split("\n").map(line => JSON.parse(line) as OutputLine);
}

function readJob(fuzzCase: FuzzCase, submission: Submission): Promise<JobRecord> {
    const { jobId } = submission;
    if (jobId === undefined) {
        throw promiseViolation("an acknowledged job has an id", submission);
    }
    return batchServiceOf(fuzzCase).getJob({ teamId: TEAM, jobId });
}

function batchServiceOf(fuzzCase: FuzzCase): KeyValueBatchService {
    const entry = fuzzCase.fleet.availableEntry(1);
    if (entry === undefined) {
        throw promiseViolation("replaced entries live", {});
    }
    return entry.batchService;
}
