// A second SIGTERM found no listener any more and ended the process at once, with all that was in progress (LOST).
import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { test } from "node:test";

const SETTINGS = `
nodeName = "n-1"
zone = "z-a"
region = "z"
ip = "127.0.0.1"
portRange = [7660, 7662]
[listen]
[faultTolerance]
machines = 1
[platform]
address = "127.0.0.1:8142"
ttlMinMs = 1000
[bounds]
configMs = 2000
graceS = 8
drainMs = 2000
statusS = 120
`;
const PROGRAM = `
import { runProgram } from "${new URL("../src/runProgram.js", import.meta.url).href}";
let stops = 0;
const stop = () => {
    stops += 1;
    console.log("stop " + stops);
    return new Promise(resolve => setTimeout(resolve, 1000));
};
await runProgram("test", () => Promise.resolve({ stop }));
setInterval(() => undefined, 1000);
`;

test("further SIGTERMs change nothing about a stop in progress", { timeout: 20_000 }, async () => {
    const folder = mkdtempSync(path.join(tmpdir(), "second-signal-"));
    const settings = path.join(folder, "boot.toml");
    const program = path.join(folder, "program.mjs");
    writeFileSync(settings, SETTINGS);
    writeFileSync(program, PROGRAM);
    const child = spawn(process.execPath, [program], { env: { ...process.env, KNAPWEEDWOOD_BOOT: settings } });
    let output = "";
    let signals = 0;
    child.stdout.on("data", (data: Buffer) => {
        output += data.toString();
        const isDue = signals === 0 ? output.includes("started") : signals < 3 && output.includes("stop 1");
        if (isDue) {
            signals = signals === 0 ? 1 : 3;
            Array.from({ length: signals }).forEach(() => child.kill("SIGTERM"));
        }
    });
    const ended = await new Promise(resolve => child.once("close", (code, signal) => resolve({ code, signal })));
    rmSync(folder, { recursive: true });
    assert.deepEqual([ended, output.match(/stop \d/gu)], [{ code: 0, signal: null }, ["stop 1"]], output);
});
