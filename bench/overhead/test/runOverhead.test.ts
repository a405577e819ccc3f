import assert from "node:assert/strict";
import { test } from "node:test";
import { runOverhead } from "../src/runOverhead.js";
import { targetsOf } from "../src/targetsOf.js";

// A machine that stalls for longer than a link may be silent makes the entry refuse calls, truthfully and by design.
const REFUSAL = /^Status 503: .*ERR_KNAPWEED_NO_UPSTREAM/u;

test("the experiment measures each path, with no failure but refusals of a stalled machine", async () => {
    const report = await runOverhead({ seconds: 9, rounds: 1, engineCount: 2 });
    assert.deepEqual(Object.keys(report.failures).filter(reason => !REFUSAL.test(reason)), []);
    [report.requests.direct, report.requests.passThrough, report.requests.entry, report.tokens.entry]
        .forEach(rate => assert.ok(rate.meanPerS > 0));
    assert.ok(report.firstToken.entry.count > 0);
    assert.ok(report.memory.entryBytes > report.memory.emptyBytes);
    const missed = targetsOf({
        ...report,
        requests: { ...report.requests, entryShare: 0.49 },
        firstToken: { ...report.firstToken, addedP99Ms: 3 },
        failures: { refused: 1 },
    });
    assert.deepEqual(missed.slice(0, 2).map(target => target.isMet), [false, false]);
    assert.equal(missed.at(-1)?.isMet, false);
});
