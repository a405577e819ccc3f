import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { before, test } from "node:test";
import { runSoak } from "../src/runSoak.js";
import type { SoakReport } from "../src/soakReport.js";

const root = path.resolve(import.meta.dirname, "../../../..");
const FAULT_MS = 8000;

async function soak(opts: { seed: number; crashingShare: number; }): Promise<SoakReport> {
    const folder = mkdtempSync(path.join(tmpdir(), "soak-"));
    const report = await runSoak({ root, folder, processes: 5, faultMs: FAULT_MS, ...opts });
    assert.deepEqual(report.violations, [], JSON.stringify(report.faults));
    assert.ok(report.served > 0 && report.items > 0, JSON.stringify(report));
    rmSync(folder, { recursive: true });
    return report;
}

before(() => {
    execFileSync(process.execPath, [path.join(root, "scripts/bundle.mjs")], { cwd: root });
});

test("the real programs keep their promises through a short soak", async () => {
    await soak({ seed: 3, crashingShare: 0 });
});

// A request that ends each upstream that runs it came again with new request ids, and ended all upstreams each time.
test("the real programs keep a request that ends upstreams away from them in a short soak", async () => {
    const report = await soak({ seed: 4, crashingShare: 1 });
    assert.ok(report.crashes > 0, JSON.stringify(report));
});
