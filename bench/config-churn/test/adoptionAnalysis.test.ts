import assert from "node:assert/strict";
import { test } from "node:test";
import { countReversals } from "../src/countReversals.js";
import { quantilesOf } from "../src/quantilesOf.js";
import { readAdoptions } from "../src/readAdoptions.js";
import { revisionLatencies } from "../src/revisionLatencies.js";
import type { RunHistory } from "../src/runHistory.js";

function history(revisions: [revision: number, atMs: number][], rest: Partial<RunHistory["run"]> = {}): RunHistory {
    return {
        run: { instanceId: "i", startedAtMs: 0, endedAtMs: undefined, pauses: [], ...rest },
        adoptions: revisions.map(([revision, atMs]) => ({ revision, atMs, ageMs: 0 })),
    };
}

test("readAdoptions reads adoptions from log lines and ignores other lines", () => {
    const log = [
        '{"event":"link.opened"}',
        '{"time":"1970-01-01T00:00:05.000Z","level":"info","event":"configuration-adopted","revision":3,"ageMs":12}',
        "started",
    ];
    assert.deepEqual(readAdoptions(log.join("\n")), [{ revision: 3, atMs: 5000, ageMs: 12 }]);
});

test("countReversals counts the adoption of a lower revision", () => {
    assert.equal(countReversals([history([[1, 0], [3, 1], [2, 2], [4, 3]]), history([[1, 0], [5, 1]])]), 1);
});

test("revisionLatencies excludes disturbed processes and includes those that never adopted the revision", () => {
    const histories = [
        history([[6, 10_040]]),
        history([[7, 10_100]]),
        history([[6, 10_500]], { startedAtMs: 8_000 }),
        history([[6, 13_500]], { pauses: [{ fromMs: 9_000, untilMs: 12_000 }] }),
        history([], { endedAtMs: 10_050 }),
    ];
    const opts = { revision: 6, publishedAtMs: 10_000, endMs: 60_000 };
    assert.deepEqual(revisionLatencies({ ...opts, histories }), [40, 100]);
    assert.deepEqual(revisionLatencies({ ...opts, histories: [history([[5, 9_000]])] }), [Infinity]);
});

test("quantilesOf uses the nearest rank", () => {
    const values = Array.from({ length: 100 }, (_, n) => 100 - n);
    assert.deepEqual(quantilesOf(values), { p50Ms: 50, p99Ms: 99, maxMs: 100, count: 100 });
});
