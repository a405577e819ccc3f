// Guards against a check of upstreams' limits that finds no excess, or finds one that is allowed.
import assert from "node:assert/strict";
import { test } from "node:test";
import { checkUpstreamLimits } from "../src/checkUpstreamLimits.js";
import { SoakRecord } from "../src/soakRecord.js";

/** 1.5 × 2 × 4 + 5 */
const ALLOWED = 17;

/** Returns a record of an upstream that named 2 requests a second at 1,000 ms and got `count` requests from `fromMs` on. */
function recordWith(count: number, fromMs: number): SoakRecord {
    const record = new SoakRecord();
    const arrivedAtMs = Array.from({ length: count }, (_, index) => fromMs + index);
    record.upstreamLimits.push({ upstreamId: "u", ratePerS: 2, namedAtMs: 1000, toMs: Infinity, arrivedAtMs });
    return record;
}

test("as many requests as an upstream's limit allows are no violation", () => {
    assert.deepEqual(checkUpstreamLimits(recordWith(ALLOWED, 5000)), []);
});

test("one request more than an upstream's limit allows is a violation", () => {
    assert.equal(checkUpstreamLimits(recordWith(ALLOWED + 1, 5000)).length, 1);
});

test("an upstream's limit binds 3,000 ms after it was named", () => {
    assert.deepEqual(checkUpstreamLimits(recordWith(ALLOWED + 1, 3900)), []);
});

test("a fault of a process allows as many requests once more, a fault of the upstream doesn't", () => {
    const violationsWith = (kind: string, count: number) => {
        const record = recordWith(count, 5000);
        record.faults.push({ kind, target: "x", fromMs: 1000, toMs: 4000, isPlanned: false });
        return checkUpstreamLimits(record).length;
    };
    assert.equal(violationsWith("kill-gateway", 2 * ALLOWED), 0);
    assert.equal(violationsWith("kill-gateway", 2 * ALLOWED + 1), 1);
    assert.equal(violationsWith("upstream-slow", ALLOWED + 1), 1);
});
