import type { CallRecord } from "./callRecord.js";
import type { RunRecord } from "./runRecord.js";
import type { SoakRecord } from "./soakRecord.js";
import type { Violation } from "./violation.js";

/** Number of ended upstreams after which the crashing request must be known. */
const CRASHES_UNTIL_KNOWN = 3;
/** Number of times that the known request may still reach an upstream. */
const MAX_LATE_RUNS = 3;
/** Time in which all gateways learn of the crashing request. */
const SPREAD_MS = 3000;
/** A fault of a gateway, or of what all gateways use, excuses its runs until this long after its end. */
const FAULT_SLACK_MS = 3000;
/** Longest time until an ended upstream is back. */
const UPSTREAM_RESTART_MS = 3000;
/** With fewer calls the share is not significant. */
const MIN_CALLS = 20;
const MIN_SERVED_SHARE = 0.25;

/**
 * Returns a violation if the crashing request reaches upstreams too often once it has ended three of them, and one if
 * too few of the other calls to the same service are served from then on.
 */
export function checkCrashingRequests(record: SoakRecord): Violation[] {
    const calls = new Map(record.calls.filter(call => call.kind === "crashing").map(call => [call.id, call]));
    const runs = record.runs.filter(run => calls.has(run.callId));
    const lastNeeded = runs[CRASHES_UNTIL_KNOWN - 1];
    if (lastNeeded === undefined) {
        return [];
    }
    const knownAtMs = lastNeeded.atMs + SPREAD_MS;
    const late = runs
        .filter(run => run.atMs > knownAtMs && isUndisturbed(record, calls.get(run.callId)!, run));
    const detail = `${late.length} runs of ${runs.length} are late, the last at ${late.at(-1)?.upstreamId} from`
        + ` ${calls.get(late.at(-1)?.callId ?? "")?.gateway}, ${(late.at(-1)?.atMs ?? 0) - lastNeeded.atMs} ms after`;
    return [
        ...late.length > MAX_LATE_RUNS ? [{ promise: "crashing-request-stopped", detail }] : [],
        ...checkSoundCalls(record, knownAtMs + UPSTREAM_RESTART_MS),
    ];
}

function isUndisturbed(record: SoakRecord, { gateway }: CallRecord, run: RunRecord): boolean {
    return !record.faults.some(fault =>
        [gateway, "all", "store"].includes(fault.target) && fault.fromMs <= run.atMs
        && fault.toMs >= run.atMs - FAULT_SLACK_MS
    );
}

function checkSoundCalls(record: SoakRecord, fromMs: number): Violation[] {
    const calls = record.calls.filter(call =>
        call.kind === "idempotent" && call.endedAtMs !== undefined && call.sentAtMs > fromMs
        && record.isFaultFree(call.sentAtMs, call.endedAtMs, { slackMs: FAULT_SLACK_MS })
    );
    const served = calls.filter(call => call.statusCode === 200 && call.isComplete);
    return calls.length < MIN_CALLS || served.length >= calls.length * MIN_SERVED_SHARE
        ? []
        : [{ promise: "sound-requests-served", detail: `${served.length} of ${calls.length} calls served` }];
}
