import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { test } from "node:test";
import { runSoak } from "../src/runSoak.js";

const root = path.resolve(import.meta.dirname, "../../../..");
const FAULT_MS = 8000;

test("the real programs keep their promises through a short soak", async () => {
    execFileSync(process.execPath, [path.join(root, "scripts/bundle.mjs")], { cwd: root });
    const folder = mkdtempSync(path.join(tmpdir(), "soak-"));
    const report = await runSoak({ root, folder, seed: 3, processes: 5, faultMs: FAULT_MS });
    assert.deepEqual(report.violations, [], JSON.stringify(report.faults));
    assert.ok(report.served > 0 && report.items > 0, JSON.stringify(report));
    rmSync(folder, { recursive: true });
});
