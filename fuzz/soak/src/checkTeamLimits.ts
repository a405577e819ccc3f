import type { SoakRecord } from "./soakRecord.js";
import type { Violation } from "./violation.js";

const WINDOW_MS = 5000;
const MS_PER_SECOND = 1000;
const TOLERANCE = 1.1;
const EXTRA_REQUESTS = 20;
/** Time after its write in which a lowered limit is in force, without and with faults. Later windows have to keep it. */
const IN_FORCE_MS = 3000;
const IN_FORCE_FAULTY_MS = 9000;

/** Returns a violation if more of the limited team's requests were sent in a window and ran than its limit allows. */
export function checkTeamLimits(record: SoakRecord): Violation[] {
    const { team } = record.teamLimits[0] ?? {};
    const keys = new Set(record.teamKeys.filter(key => key.team === team).map(({ key }) => key));
    const ran = new Set(record.runs.map(run => run.callId));
    const sentAtMs = record.calls.filter(call => keys.has(call.key ?? "") && ran.has(call.id))
        .map(call => call.sentAtMs).toSorted((left, right) => left - right);
    return sentAtMs.flatMap((fromMs, index) => {
        const end = sentAtMs.findIndex(atMs => atMs >= fromMs + WINDOW_MS);
        const count = (end < 0 ? sentAtMs.length : end) - index;
        const allowed = allowedIn(record, fromMs);
        return count <= allowed
            ? []
            : [{ promise: "team-limit", detail: `${count} requests of ${team} from ${fromMs}, ${allowed} allowed` }];
    }).slice(0, 1);
}

/** Returns the number of requests that the loosest limit that may be in force allows in a window from `fromMs`. */
function allowedIn(record: SoakRecord, fromMs: number): number {
    const limits = record.teamLimits.map((limit, index) => ({
        ...limit,
        writtenAtMs: record.versions.find(({ version }) => version === limit.version)?.writtenAtMs ?? fromMs,
        replacedAtMs: record.versions.find(({ version }) => version === record.teamLimits[index + 1]?.version)
            ?.ackedAtMs ?? Infinity,
    }));
    const allowed = limits
        .filter(limit => limit.writtenAtMs <= fromMs + WINDOW_MS)
        .filter(({ replacedAtMs }) => {
            const isSound = record.isFaultFree(replacedAtMs, fromMs, { slackMs: IN_FORCE_MS });
            return replacedAtMs + WINDOW_MS + (isSound ? IN_FORCE_MS : IN_FORCE_FAULTY_MS) >= fromMs;
        })
        .map(({ ratePerS, burst }) => (WINDOW_MS / MS_PER_SECOND * ratePerS + burst) * TOLERANCE + EXTRA_REQUESTS);
    return Math.max(...allowed);
}
