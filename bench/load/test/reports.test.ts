import assert from "node:assert/strict";
import { test } from "node:test";
import { htmlReport } from "../src/htmlReport.js";
import { Recorder } from "../src/recorder.js";

test("a recorder returns percentiles within its resolution", () => {
    const recorder = new Recorder();
    Array.from({ length: 1000 }, (_, index) => index + 1).forEach(durationMs => recorder.record(durationMs));
    const summary = recorder.summary();
    assert.equal(summary.count, 1000);
    assert.ok(Math.abs(summary.p50Ms - 500) <= 1);
    assert.ok(Math.abs(summary.p99Ms - 990) <= 1);
    assert.ok(Math.abs(summary.maxMs - 1000) <= 1);
});

test("an HTML report contains every point of a plot and escapes its texts", () => {
    const html = htmlReport("a < b", [
        { kind: "table", title: "t", columns: ["name", "value"], rows: [["x & y", 1.234]] },
        {
            kind: "plot",
            title: "p",
            xLabel: "s",
            yLabel: "ms",
            series: [{ name: "n", points: [{ x: 0, y: 0 }, { x: 1, y: 2 }] }],
        },
    ]);
    assert.match(html, /a &lt; b/u);
    assert.match(html, /x &amp; y<\/td><td>1\.23/u);
    assert.match(html, /points="70\.0,270\.0 700\.0,30\.0"/u);
});
