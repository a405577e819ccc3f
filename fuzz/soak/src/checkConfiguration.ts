import type { CallRecord } from "./callRecord.js";
import { groupBy } from "./groupBy.js";
import type { SoakRecord } from "./soakRecord.js";
import type { VersionRecord } from "./versionRecord.js";
import type { Violation } from "./violation.js";

const IN_FORCE_MS = 2000;
const CONTACT_MS = 3000;
const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;

/** A configuration is in force everywhere soon after it was written, and no process goes back to an older one. */
export function checkConfiguration(record: SoakRecord): Violation[] {
    const probes = record.calls
        .filter(call => call.kind === "probe" && call.endedAtMs !== undefined)
        .filter(call => call.statusCode === HTTP_OK || call.statusCode === HTTP_NOT_FOUND);
    return [...checkBackwards(probes), ...probes.flatMap(probe => checkInForce(probe, record))];
}

function checkBackwards(probes: CallRecord[]): Violation[] {
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

function checkInForce(probe: CallRecord, record: SoakRecord): Violation[] {
    const settled = record.versions.filter(version => version.ackedAtMs + IN_FORCE_MS < probe.sentAtMs);
    const newest = settled.at(-1);
    const isCurrent = newest !== undefined && isNewestThrough(record.versions, newest, probe.endedAtMs!);
    const isCalm = newest !== undefined && record.isCalm(newest.writtenAtMs, probe.endedAtMs!, { slackMs: CONTACT_MS });
    if (!isCurrent || !isCalm) {
        return [];
    }
    const expected = probe.version === newest.version ? HTTP_OK : HTTP_NOT_FOUND;
    return probe.statusCode === expected ? [] : [{
        promise: "configuration-in-force",
        detail: `${probe.id} at ${probe.gateway}: version ${probe.version} gives ${probe.statusCode}, newest is`
            + ` ${newest.version}, acknowledged ${probe.sentAtMs - newest.ackedAtMs} ms before`,
    }];
}

function isNewestThrough(versions: VersionRecord[], newest: VersionRecord, untilMs: number): boolean {
    return versions.every(other => other.version <= newest.version || other.writtenAtMs > untilMs);
}
