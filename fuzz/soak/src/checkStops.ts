import type { CallRecord } from "./callRecord.js";
import type { SoakRecord } from "./soakRecord.js";
import type { Violation } from "./violation.js";

/** An unplanned fault excuses violations until this long after its end. */
const FAULT_SLACK_MS = 3000;
/** Requests sent later than this after the signal may still be running when the process's grace period ends. */
const SENT_WITHIN_MS = 3000;

/**
 * Returns a violation for each forwarded request that a planned stop cut off, and for each process that exited
 * although the soak did not request it.
 */
export function checkStops(record: SoakRecord): Violation[] {
    const exits = record.exits.map(exit => ({
        promise: "no-exit-of-its-own",
        detail: `${exit.process} at ${exit.atMs} with code ${exit.code} and signal ${exit.signal}`,
    }));
    const cut = record.faults.filter(fault => fault.kind === "stop").flatMap(stop =>
        record.calls
            // Slow readers are cut off on purpose.
            .filter(call => call.kind !== "slow")
            .filter(call => call.gateway === stop.target && call.endedAtMs !== undefined && !call.isComplete)
            .filter(call => call.sentAtMs < stop.fromMs + SENT_WITHIN_MS && call.endedAtMs! >= stop.fromMs)
            .filter(call => call.sentAtMs < stop.toMs && wasForwarded(call, record))
            .filter(call =>
                record.isFaultFree(call.sentAtMs, call.endedAtMs!, { slackMs: FAULT_SLACK_MS, ignoresPlanned: true })
            )
            .map(call => ({
                promise: "stop-cuts-nothing",
                detail: `${call.id} ${call.kind} at ${call.gateway}: sent ${call.sentAtMs}, cut ${call.endedAtMs},`
                    + ` stop from ${stop.fromMs} to ${stop.toMs}`,
            }))
    );
    return [...exits, ...cut];
}

function wasForwarded(call: CallRecord, record: SoakRecord): boolean {
    const runs = record.runs.filter(run => run.callId === call.id);
    return runs.length > 0 && !runs.some(run => run.faultMode !== undefined);
}
