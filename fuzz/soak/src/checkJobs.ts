import { expectedEvents } from "./expectedEvents.js";
import type { JobRecord } from "./jobRecord.js";
import { RESULT_RETENTION_MS } from "./resultRetentionMs.js";
import type { SoakRecord } from "./soakRecord.js";
import type { Violation } from "./violation.js";
import { withoutSoftwareVersions } from "./withoutSoftwareVersions.js";

/** How long after the acknowledged cancellation of a job its items may still start to run. */
const MAX_CANCEL_DELAY_MS = 3000;
/** Upstream failures after which an item may be abandoned, as set by the route. */
const MAX_ATTEMPTS = 3;
/** A fault excuses violations until this long after its end. */
const FAULT_SLACK_MS = 3000;
/** Time after its acceptance in which a job need not be found yet. */
const SETTLE_MS = 1000;
const HTTP_ACCEPTED = 202;
const HTTP_BAD_REQUEST = 400;

/**
 * Returns a violation for each job that was accepted though it can't be run, or rejected though it can, and for each accepted
 * job that was lost or did not end. Also returns one for each item whose result
 * is duplicate, incomplete or moved, that was abandoned too early, or that ran after the cancellation of its job.
 */
export function checkJobs(record: SoakRecord): Violation[] {
    return [
        ...record.jobs.flatMap(checkAcceptance),
        ...record.jobs
            .filter(job => job.acceptedAtMs !== undefined)
            .flatMap(
                job => [...checkResults(job, record), ...checkEnd(job, record), ...checkCancellation(job, record)],
            ),
    ];
}

/** A job that can't be run is rejected before it is accepted, and no other is rejected as such. No fault excuses this. */
function checkAcceptance({ id, traits, attemptStatuses }: JobRecord): Violation[] {
    const wrongStatus = traits.isInvalid ? HTTP_ACCEPTED : HTTP_BAD_REQUEST;
    return attemptStatuses.includes(wrongStatus)
        ? [{ promise: "only-runnable-jobs-accepted", detail: `${id} got ${wrongStatus}` }]
        : [];
}

function checkResults(job: JobRecord, record: SoakRecord): Violation[] {
    const seen = new Set<string>();
    const wrong = job.results.flatMap((result, position): Violation[] => {
        const item = job.items.find(candidate => candidate.id === result.itemId);
        const location = `${job.id} position ${position} item ${result.itemId}`;
        if (item === undefined || seen.has(result.itemId)) {
            return [{ promise: "item-once", detail: location }];
        }
        seen.add(result.itemId);
        if (result.state !== "completed") {
            const failures = record.runs.filter(run => run.callId === item.id && run.faultMode === "errors").length;
            const isExpired = job.readAtMs[position]! >= job.submittedAtMs + job.route.retentionMs;
            return failures >= MAX_ATTEMPTS || isExpired
                ? []
                : [{ promise: "given-up-only-when-allowed", detail: `${location}: ${result.state}` }];
        }
        const isWhole = withoutSoftwareVersions(result.output) === expectedEvents(item.body).join("\n");
        return isWhole ? [] : [{ promise: "item-text-whole", detail: `${location}: ${result.output.slice(0, 200)}` }];
    });
    const moved = job.contradictions.map(detail => ({ promise: "positions-stay", detail: `${job.id}: ${detail}` }));
    return [...wrong, ...moved];
}

function checkEnd(job: JobRecord, record: SoakRecord): Violation[] {
    const missed = job.missedAtMs
        .filter(atMs => !mayBeRemoved(job, atMs))
        .filter(atMs =>
            atMs > job.acceptedAtMs! + SETTLE_MS && record.isFaultFree(atMs, atMs, { slackMs: FAULT_SLACK_MS })
        )
        .map(atMs => ({ promise: "job-kept", detail: `${job.id} not found at ${atMs}` }));
    const isOpen = job.cancelledAtMs === undefined && job.results.length < job.items.length;
    return record.endedAtMs !== undefined && isOpen
        ? [...missed, {
            promise: "job-ends",
            detail: `${job.id}: ${job.results.length} of ${job.items.length} results`,
        }]
        : missed;
}

/** Whether the caller knows that a job had ended, and its retention time was over. */
function mayBeRemoved(job: JobRecord, atMs: number): boolean {
    const isCancelled = job.cancelledAtMs !== undefined && job.cancelledAtMs < atMs;
    const isComplete = job.readAtMs.filter(readAtMs => readAtMs < atMs).length >= job.items.length;
    return (isCancelled || isComplete) && atMs >= job.submittedAtMs + RESULT_RETENTION_MS;
}

function checkCancellation(job: JobRecord, record: SoakRecord): Violation[] {
    const { cancelledAtMs } = job;
    if (cancelledAtMs === undefined) {
        return [];
    }
    return record.runs
        .filter(run => job.items.some(item => item.id === run.callId) && run.atMs > cancelledAtMs + MAX_CANCEL_DELAY_MS)
        .filter(run => record.isFaultFree(cancelledAtMs, run.atMs, { slackMs: FAULT_SLACK_MS }))
        .map(run => ({ promise: "cancelled-stays", detail: `${run.callId} ran ${run.atMs - cancelledAtMs} ms after` }));
}
