import type { CallRecord } from "./callRecord.js";
import type { DrainRecord } from "./drainRecord.js";
import type { ExitRecord } from "./exitRecord.js";
import type { FaultRecord } from "./faultRecord.js";
import type { ForeignReadRecord } from "./foreignReadRecord.js";
import type { JobRecord } from "./jobRecord.js";
import type { RunRecord } from "./runRecord.js";
import type { TeamKeyRecord } from "./teamKeyRecord.js";
import type { TeamLimitRecord } from "./teamLimitRecord.js";
import type { UpstreamLimitRecord } from "./upstreamLimitRecord.js";
import type { VersionRecord } from "./versionRecord.js";

/** Everything that callers, upstreams and operators observed during a soak. It is the only input of the oracle. */
export class SoakRecord {
    readonly calls: CallRecord[] = [];
    readonly runs: RunRecord[] = [];
    readonly jobs: JobRecord[] = [];
    readonly faults: FaultRecord[] = [];
    readonly versions: VersionRecord[] = [];
    readonly drains: DrainRecord[] = [];
    readonly exits: ExitRecord[] = [];
    /** The keys that any configuration so far contains; empty without teams. */
    readonly teamKeys: TeamKeyRecord[] = [];
    /** The limits of the limited team, oldest first. */
    readonly teamLimits: TeamLimitRecord[] = [];
    readonly upstreamLimits: UpstreamLimitRecord[] = [];
    readonly foreignReads: ForeignReadRecord[] = [];
    /** The service to which any configuration so far routes each path prefix. */
    readonly servicesOfPrefix = new Map<string, string>();
    /** Time at which all faults were over; undefined until then. */
    faultsEndedAtMs: number | undefined;
    /** Time at which the jobs had had enough time to end; undefined until then. */
    endedAtMs: number | undefined;

    /**
     * Returns whether no fault was active between `fromMs` and `toMs` or in the `slackMs` before. `ignoresPlanned`
     * leaves out planned operations.
     */
    isFaultFree(fromMs: number, toMs: number, opts: { slackMs: number; ignoresPlanned?: boolean; }): boolean {
        return !this.faults.some(fault =>
            fault.fromMs <= toMs && fault.toMs >= fromMs - opts.slackMs && !(opts.ignoresPlanned && fault.isPlanned)
        );
    }
}
