import type { CallRecord } from "./callRecord.js";
import { groupBy } from "./groupBy.js";
import type { SoakRecord } from "./soakRecord.js";
import type { TeamKeyRecord } from "./teamKeyRecord.js";
import type { Violation } from "./violation.js";

/** Time after its write in which a configuration is in force at every connected process. */
const IN_FORCE_MS = 3000;
/** The same while the key-value service rejects the process. */
const IN_FORCE_REJECTED_MS = 9000;
/** A fault excuses violations until this long after its end. */
const FAULT_SLACK_MS = 3000;
const REJECTIONS = [401, 403, 404];
const HTTP_OK = 200;

/**
 * Returns a violation for each run with a key or the wrong team, for each call with a withdrawn key that ran, for each
 * rejection of a caller whom every version allows, and for each read of another team's job. Empty without teams.
 */
export function checkTeams(record: SoakRecord): Violation[] {
    if (record.teamKeys.length === 0) {
        return [];
    }
    const keys = new Map(record.teamKeys.map(key => [key.key, key]));
    const foreign = record.foreignReads.filter(({ statusCode }) => statusCode === HTTP_OK)
        .map(({ jobId, team }) => ({ promise: "job-of-team", detail: `${jobId} was read by ${team}` }));
    return [
        ...checkHeaders(record, keys),
        ...checkWithdrawn(record, keys),
        ...record.calls.flatMap(call => checkRejection(record, call, keys.get(call.key ?? ""))),
        ...foreign,
    ];
}

function checkHeaders(record: SoakRecord, keys: Map<string, TeamKeyRecord>): Violation[] {
    const teams = new Map([
        ...record.calls.map(call => [call.id, keys.get(call.key ?? "")?.team] as const),
        ...record.jobs.flatMap(job => job.items.map(item => [item.id, job.team] as const)),
    ]);
    return record.runs.flatMap(run => [
        ...run.key === undefined ? [] : [{ promise: "key-kept", detail: `${run.callId} at ${run.upstreamId}` }],
        ...run.team === teams.get(run.callId)
            ? []
            : [{ promise: "right-team", detail: `${run.callId}: ${run.team} instead of ${teams.get(run.callId)}` }],
    ]);
}

function checkWithdrawn(record: SoakRecord, keys: Map<string, TeamKeyRecord>): Violation[] {
    const runs = groupBy(record.runs, run => run.callId);
    return record.calls.flatMap(call => {
        const { untilVersion } = keys.get(call.key ?? "") ?? {};
        const version = record.versions.find(candidate => candidate.version === untilVersion);
        if (version === undefined || !runs.has(call.id)) {
            return [];
        }
        const faults = record.faults.filter(fault =>
            [call.gateway, "all", "store", "runners"].includes(fault.target)
            && fault.fromMs <= call.sentAtMs && fault.toMs >= version.writtenAtMs - FAULT_SLACK_MS
        );
        const isExcused = faults.some(({ kind }) => !kind.startsWith("store-cut"));
        const limitMs = faults.length > 0 ? IN_FORCE_REJECTED_MS : IN_FORCE_MS;
        const ageMs = call.sentAtMs - version.ackedAtMs;
        return isExcused || ageMs <= limitMs
            ? []
            : [{ promise: "withdrawn-key-ends", detail: `${call.id} ran at ${call.gateway}, ${ageMs} ms after` }];
    });
}

function checkRejection(record: SoakRecord, call: CallRecord, key: TeamKeyRecord | undefined): Violation[] {
    const isRejected = REJECTIONS.includes(call.statusCode) && !(call.kind === "probe" && call.statusCode === 404);
    if (!isRejected || key === undefined || call.endedAtMs === undefined) {
        return [];
    }
    const oldest = record.versions
        .findLast(({ ackedAtMs }) => ackedAtMs + IN_FORCE_REJECTED_MS < call.sentAtMs)?.version ?? 1;
    const until = record.versions.find(({ version }) => version === key.untilVersion);
    const isWithdrawn = key.untilVersion !== undefined && (until === undefined || until.writtenAtMs <= call.endedAtMs);
    return key.fromVersion > oldest || isWithdrawn
        ? []
        : [{ promise: "allowed-never-rejected", detail: `${call.id} got ${call.statusCode} at ${call.gateway}` }];
}
