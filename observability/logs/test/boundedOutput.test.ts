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
/** A pipe holds this much, so that a pause of the reader after each stops the program until the next read. */
const READ_SIZE_BYTES = 65_536;
const READ_PAUSE_MS = 30;

function startProgram() {
    return spawn(process.execPath, ["--input-type=module", "-e", PROGRAM], { stdio: ["ignore", "pipe", "pipe"] });
}

// How long it waits for the reader is tested on a clock of its own, in flushWait.
test("a process whose reader has stopped still exits in time", async () => {
    const child = startProgram();
    await once(child.stderr, "data");
    const timer = setTimeout(() => child.kill("SIGTERM"), MAX_END_MS);
    const [, signal] = await once(child, "exit") as [number | null, string | null];
    clearTimeout(timer);
    assert.equal(signal, "SIGKILL", "the process must end itself");
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

// On a busy machine the reader takes longer for the whole output than a stopped reader is waited for. The process then
// killed itself while its lines were being read.
test("a reader that is slow but goes on reading receives the last lines", async () => {
    const child = startProgram();
    const closed = once(child, "close") as Promise<[number | null]>;
    let last = "";
    const read = () => {
        const chunk = child.stdout.read(READ_SIZE_BYTES) as Buffer | null ?? child.stdout.read() as Buffer | null;
        last = (last + (chunk?.toString("utf8") ?? "")).slice(-400);
    };
    const timer = setInterval(read, READ_PAUSE_MS);
    const [code] = await closed;
    clearInterval(timer);
    assert.equal(code, 3);
    assert.match(last, /numbered \d+/u);
});
