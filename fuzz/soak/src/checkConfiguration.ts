import type { CallRecord } from "./callRecord.js";
import { groupBy } from "./groupBy.js";
import type { SoakRecord } from "./soakRecord.js";
import type { VersionRecord } from "./versionRecord.js";
import type { Violation } from "./violation.js";

/** Time after the acknowledged write in which every gateway activates a configuration. */
const PROPAGATION_MS = 2000;
/** A fault excuses violations until this long after its end. */
const FAULT_SLACK_MS = 3000;
const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;

/**
 * Returns a violation for each probe that shows that a gateway did not activate the newest configuration soon after it
 * was written, or went back to an older one without a restart.
 */
export function checkConfiguration(record: SoakRecord): Violation[] {
    const probes = record.calls
        .filter(call => call.kind === "probe" && call.endedAtMs !== undefined)
        .filter(call => call.statusCode === HTTP_OK || call.statusCode === HTTP_NOT_FOUND);
    return [...checkVersionOrder(probes), ...probes.flatMap(probe => checkActiveVersion(probe, record))];
}

function checkVersionOrder(probes: CallRecord[]): Violation[] {
    const byStart = groupBy(probes, probe => `${probe.gateway} start ${probe.startNumber}`);
    return [...byStart].flatMap(([start, calls]) =>
        calls.filter(call => call.statusCode === HTTP_OK).flatMap(older => {
            const newer = calls.find(call =>
                call.statusCode === HTTP_OK && call.version! > older.version! && call.endedAtMs! < older.sentAtMs
            );
            return newer === undefined ? [] : [{
                promise: "configuration-never-back",
                detail: `${start}: ${older.version} at ${older.sentAtMs} after ${newer.version} at ${newer.endedAtMs}`,
            }];
        })
    );
}

function checkActiveVersion(probe: CallRecord, record: SoakRecord): Violation[] {
    const propagated = record.versions.filter(version => version.ackedAtMs + PROPAGATION_MS < probe.sentAtMs);
    const newest = propagated.at(-1);
    const isCurrent = newest !== undefined && isNewestUntil(record.versions, newest, probe.endedAtMs!);
    const isFaultFree = newest !== undefined
        && record.isFaultFree(newest.writtenAtMs, probe.endedAtMs!, { slackMs: FAULT_SLACK_MS });
    if (!isCurrent || !isFaultFree) {
        return [];
    }
    const expected = probe.version === newest.version ? HTTP_OK : HTTP_NOT_FOUND;
    return probe.statusCode === expected ? [] : [{
        promise: "configuration-in-force",
        detail: `${probe.id} at ${probe.gateway}: version ${probe.version} gives ${probe.statusCode}, newest is`
            + ` ${newest.version}, acknowledged ${probe.sentAtMs - newest.ackedAtMs} ms before`,
    }];
}

function isNewestUntil(versions: VersionRecord[], newest: VersionRecord, untilMs: number): boolean {
    return versions.every(other => other.version <= newest.version || other.writtenAtMs > untilMs);
}
