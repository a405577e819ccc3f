import assert from "node:assert/strict";
import { test } from "node:test";
import { runOverhead } from "../src/runOverhead.js";
import { targetsOf } from "../src/targetsOf.js";

// The entry rejects calls correctly where the machine stalls for longer than the silence timeout of a link.
const REFUSAL = /^Status 503: .*ERR_KNAPWEED_NO_UPSTREAM/u;

test("the experiment measures each path, with no failed calls except rejections while the machine stalls", async () => {
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
