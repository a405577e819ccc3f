import type { CallKind } from "./callKind.js";
import { groupBy } from "./groupBy.js";
import type { SoakRecord } from "./soakRecord.js";
import type { Violation } from "./violation.js";

const RUN_ONCE_KINDS: CallKind[] = ["once", "stream-once"];
/** Status codes that state that a request has not run and never will. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];

/**
 * Returns a violation for each request that upstreams ran with other content, at the wrong service, more often than its
 * kind allows, or although its response stated that it did not run.
 */
export function checkRuns(record: SoakRecord): Violation[] {
    const runsById = groupBy(record.runs, run => run.callId);
    const calls = new Map(record.calls.map(call => [call.id, call]));
    const items = new Map(record.jobs.flatMap(job => job.items.map(item => [item.id, { job, item }])));
    const twice = record.calls
        .filter(call => RUN_ONCE_KINDS.includes(call.kind) && (runsById.get(call.id)?.length ?? 0) > 1)
        .map(call => ({ promise: "run-once", detail: `${call.id} ran ${runsById.get(call.id)!.length} times` }));
    const rejected = record.calls
        .filter(call => NOT_RUN_STATUSES.includes(call.statusCode) && runsById.has(call.id))
        .map(call => ({ promise: "not-run-is-true", detail: `${call.id} got ${call.statusCode} and ran` }));
    const rejectedJobs = record.jobs
        .filter(job => job.attemptStatuses.length > 0)
        .filter(job => job.attemptStatuses.every(status => NOT_RUN_STATUSES.includes(status)))
        .filter(job => job.items.some(item => runsById.has(item.id)))
        .map(job => ({ promise: "refused-job-never-runs", detail: job.id }));
    const changed = record.runs.flatMap(run => {
        const source = calls.get(run.callId) ?? items.get(run.callId)?.item;
        const path = calls.get(run.callId)?.path ?? `/${items.get(run.callId)?.job.route.name}/item`;
        const prefix = `/${run.path.split("/")[1]}/`;
        const isUnchanged = source !== undefined && run.body === source.body && run.path === path
            && run.method === "POST";
        const isAllowed = record.servicesOfPrefix.get(prefix) === run.service;
        return [
            ...isUnchanged
                ? []
                : [{ promise: "unchanged", detail: `${run.callId} ${run.method} ${run.path} ${run.body}` }],
            ...isAllowed ? [] : [{ promise: "right-service", detail: `${run.callId} ${run.path} at ${run.service}` }],
        ];
    });
    return [...twice, ...rejected, ...rejectedJobs, ...changed];
}
