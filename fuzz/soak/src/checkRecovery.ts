import type { SoakRecord } from "./soakRecord.js";
import type { Violation } from "./violation.js";

/** Calls sent within this time after the end of all faults are not counted. */
const RECOVERY_MS = 12_000;
/** With fewer calls the share is not significant. */
const MIN_CALLS = 20;
const MIN_SERVED_SHARE = 0.25;

/** Returns a violation if too few calls are served once all faults have been over for `RECOVERY_MS`. */
export function checkRecovery(record: SoakRecord): Violation[] {
    const { faultsEndedAtMs } = record;
    if (faultsEndedAtMs === undefined) {
        return [];
    }
    const calls = record.calls.filter(call =>
        !["probe", "crashing", "slow"].includes(call.kind) && call.endedAtMs !== undefined
        && call.sentAtMs > faultsEndedAtMs + RECOVERY_MS
    );
    const served = calls.filter(call => call.statusCode === 200 && call.isComplete);
    return calls.length < MIN_CALLS || served.length >= calls.length * MIN_SERVED_SHARE
        ? []
        : [{ promise: "recovers", detail: `${served.length} of ${calls.length} calls served` }];
}
