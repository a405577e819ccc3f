import type { SoakRecord } from "./soakRecord.js";
import type { Violation } from "./violation.js";

/** How long after the acknowledgement of its draining an upstream may still start to run requests. */
const MAX_DRAIN_DELAY_MS = 2000;
/** An unplanned fault excuses violations until this long after its end. */
const FAULT_SLACK_MS = 3000;

/**
 * Returns a violation for each request that an upstream started to run more than `MAX_DRAIN_DELAY_MS` after the
 * key-value service had acknowledged that the upstream drains.
 */
export function checkDraining(record: SoakRecord): Violation[] {
    return record.drains.flatMap(({ upstreamId, ackedAtMs }) =>
        record.runs
            .filter(run => run.upstreamId === upstreamId && run.atMs > ackedAtMs + MAX_DRAIN_DELAY_MS)
            .filter(run => record.isFaultFree(ackedAtMs, run.atMs, { slackMs: FAULT_SLACK_MS, ignoresPlanned: true }))
            .map(run => ({
                promise: "drained",
                detail: `${run.callId} at ${upstreamId} ${run.atMs - ackedAtMs} ms after`,
            }))
    );
}
