import { bindingArrivalsOf } from "./bindingArrivalsOf.js";
import type { SoakRecord } from "./soakRecord.js";
import type { UpstreamLimitRecord } from "./upstreamLimitRecord.js";
import type { Violation } from "./violation.js";

const WINDOW_MS = 4000;
const MS_PER_SECOND = 1000;
const TOLERANCE = 1.5;
const EXTRA_REQUESTS = 5;
/**
 * Faults of processes and of what connects them. For a while after its end, each excuses one process, which may then send as many
 * requests as the limit allows to all.
 */
const EXCUSING_FAULT = /^(kill|pause|store|stop|reload|link)/u;
const FAULT_SLACK_MS = 3000;

/** Returns a violation if an upstream got more requests in a window than the limit that it named allows. */
export function checkUpstreamLimits(record: SoakRecord): Violation[] {
    return record.upstreamLimits.flatMap(limit => checkLimit(record, limit).slice(0, 1));
}

function checkLimit(record: SoakRecord, limit: UpstreamLimitRecord): Violation[] {
    const { upstreamId, ratePerS, arrivedAtMs } = limit;
    const allowed = TOLERANCE * ratePerS * WINDOW_MS / MS_PER_SECOND + EXTRA_REQUESTS;
    return bindingArrivalsOf(limit)
        .map(fromMs => ({
            fromMs,
            count: countWithin(arrivedAtMs, fromMs),
            allowedWithFaults: allowed * (1 + countExcusingFaults(record, fromMs)),
        }))
        .filter(({ count, allowedWithFaults }) => count > allowedWithFaults)
        .map(({ fromMs, count, allowedWithFaults }) => ({
            promise: "upstream-limit",
            detail: `${count} requests at ${upstreamId} from ${fromMs}, ${allowedWithFaults} allowed`,
        }));
}

function countWithin(arrivedAtMs: readonly number[], fromMs: number): number {
    return arrivedAtMs.filter(atMs => atMs >= fromMs && atMs < fromMs + WINDOW_MS).length;
}

function countExcusingFaults(record: SoakRecord, fromMs: number): number {
    return record.faults.filter(({ kind, fromMs: beganAtMs, toMs }) =>
        EXCUSING_FAULT.test(kind) && beganAtMs <= fromMs + WINDOW_MS && toMs >= fromMs - FAULT_SLACK_MS
    ).length;
}
