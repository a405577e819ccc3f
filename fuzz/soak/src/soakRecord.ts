import type { CallRecord } from "./callRecord.js";
import type { DrainRecord } from "./drainRecord.js";
import type { ExitRecord } from "./exitRecord.js";
import type { FaultRecord } from "./faultRecord.js";
import type { JobRecord } from "./jobRecord.js";
import type { RunRecord } from "./runRecord.js";
import type { VersionRecord } from "./versionRecord.js";

/** All that callers, upstreams and operators saw; the oracle knows nothing else. */
export class SoakRecord {
    readonly calls: CallRecord[] = [];
    readonly runs: RunRecord[] = [];
    readonly jobs: JobRecord[] = [];
    readonly faults: FaultRecord[] = [];
    readonly versions: VersionRecord[] = [];
    readonly drains: DrainRecord[] = [];
    readonly exits: ExitRecord[] = [];
    /** Services to which a configuration has ever sent requests of a path prefix. */
    readonly servicesOfPrefix = new Map<string, string>();
    /** When all faults were over; undefined before. */
    healedAtMs: number | undefined;
    /** When the jobs had had their time to end; undefined before. */
    endedAtMs: number | undefined;

    /** Whether no trouble was made within a span, nor shortly before it. */
    isFaultFree(fromMs: number, toMs: number, opts: { slackMs: number; ignoresPlanned?: boolean; }): boolean {
        return !this.faults.some(fault =>
            fault.fromMs <= toMs && fault.toMs >= fromMs - opts.slackMs && !(opts.ignoresPlanned && fault.isPlanned)
        );
    }
}
