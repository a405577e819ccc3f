import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { test } from "node:test";

const OUTPUT = new URL("../src/openBoundedOutput.js", import.meta.url).href;
const LINES = 20_000;
/** A program that writes more than the pipe and the output buffer can hold, then exits. */
const PROGRAM = `
import { openBoundedOutput } from ${JSON.stringify(OUTPUT)};
const output = openBoundedOutput("info");
for (let index = 0; index < ${LINES}; index += 1) {
    output.target.info("a line of some length, numbered " + index + " " + "x".repeat(100));
}
process.stderr.write("written");
if (!await output.flush()) {
    process.kill(process.pid, "SIGKILL");
}
process.exit(3);
`;
const MAX_END_MS = 5000;

function startProgram() {
    return spawn(process.execPath, ["--input-type=module", "-e", PROGRAM], { stdio: ["ignore", "pipe", "pipe"] });
}

test("a process whose reader has stopped still exits in time", async () => {
    const child = startProgram();
    await once(child.stderr, "data");
    const startedAtMs = Date.now();
    const timer = setTimeout(() => child.kill("SIGTERM"), MAX_END_MS);
    const [, signal] = await once(child, "exit") as [number | null, string | null];
    clearTimeout(timer);
    assert.equal(signal, "SIGKILL", "the process must end itself");
    assert.ok(Date.now() - startedAtMs < MAX_END_MS);
});

test("an active reader receives the last lines", async () => {
    const child = startProgram();
    let last = "";
    child.stdout.on("data", (chunk: Buffer) => {
        last = (last + chunk.toString("utf8")).slice(-400);
    });
    const [code] = await once(child, "close") as [number | null];
    assert.equal(code, 3);
    assert.match(last, /numbered \d+/u);
});
