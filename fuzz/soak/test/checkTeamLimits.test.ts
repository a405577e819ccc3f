// Guards against a check of the limit that finds no excess, or finds one where a raised or lowered limit allows it.
import assert from "node:assert/strict";
import { test } from "node:test";
import type { CallRecord } from "../src/callRecord.js";
import { checkTeamLimits } from "../src/checkTeamLimits.js";
import type { RunRecord } from "../src/runRecord.js";
import { SoakRecord } from "../src/soakRecord.js";

/** (5 × 6 + 3) × 1.1 + 20 */
const ALLOWED = 56;
const LOWERED_AT_MS = 1000;

/** Returns a record whose limit falls from 6 to 3 a second, with `count` requests that ran from `fromMs` on. */
function recordWith(count: number, fromMs: number): SoakRecord {
    const record = new SoakRecord();
    record.teamKeys.push({ key: "k", team: "t", fromVersion: 1, untilVersion: undefined });
    [6, 3].forEach((ratePerS, index) => {
        const atMs = index * LOWERED_AT_MS;
        record.versions.push({ version: index + 1, writtenAtMs: atMs, ackedAtMs: atMs });
        record.teamLimits.push({ version: index + 1, team: "t", ratePerS, burst: 3 });
    });
    Array.from({ length: count }, (_, index) => {
        const id = `c${index}`;
        record.calls.push({ id, key: "k", sentAtMs: fromMs + index } as CallRecord);
        record.runs.push({ callId: id } as RunRecord);
    });
    return record;
}

test("as many requests as the limit allows are no violation", () => {
    assert.deepEqual(checkTeamLimits(recordWith(ALLOWED, LOWERED_AT_MS)), []);
});

test("one request more than the limit allows is a violation", () => {
    assert.equal(checkTeamLimits(recordWith(ALLOWED + 1, LOWERED_AT_MS)).length, 1);
});

test("a lowered limit binds one window after 3,000 ms", () => {
    assert.deepEqual(checkTeamLimits(recordWith(ALLOWED, LOWERED_AT_MS + 7900)), []);
    assert.equal(checkTeamLimits(recordWith(ALLOWED, LOWERED_AT_MS + 8100)).length, 1);
});
