import type { SoakRecord } from "./soakRecord.js";
import type { Violation } from "./violation.js";

const DRAIN_MS = 2000;
const FAULT_SLACK_MS = 3000;

/** An upstream that leaves gets no new request soon after the key-value service had that. */
export function checkDraining(record: SoakRecord): Violation[] {
    return record.drains.flatMap(({ upstreamId, ackedAtMs }) =>
        record.runs
            .filter(run => run.upstreamId === upstreamId && run.atMs > ackedAtMs + DRAIN_MS)
            .filter(run => record.isFaultFree(ackedAtMs, run.atMs, { slackMs: FAULT_SLACK_MS, ignoresPlanned: true }))
            .map(run => ({
                promise: "drained",
                detail: `${run.callId} at ${upstreamId} ${run.atMs - ackedAtMs} ms after`,
            }))
    );
}
