import assert from "node:assert/strict";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { test } from "node:test";
import { freePort } from "../src/freePort.js";
import { launchProcess } from "../src/launchProcess.js";

const SERVER = `
const { createServer } = require("node:http");
const { readFileSync } = require("node:fs");
const settings = readFileSync(process.argv[process.argv.indexOf("--settings") + 1], "utf8");
const port = Number(/port: (\\d+)/.exec(settings)[1]);
createServer((request, response) => response.end("ok")).listen(port, "127.0.0.1");
process.on("SIGTERM", () => process.exit(7));
`;

test("a process is started with its settings, awaited until it is ready, measured and stopped", async t => {
    const folder = await mkdtemp(path.join(tmpdir(), "launch-"));
    t.after(() => rm(folder, { recursive: true }));
    const mainFile = path.join(folder, "server.cjs");
    await writeFile(mainFile, SERVER);
    const port = await freePort();
    const readiness = { kind: "url", url: `http://127.0.0.1:${port}/` } as const;
    const launched = await launchProcess({ name: "server", mainFile, folder, settings: { port }, readiness });
    assert.ok(await launched.residentMemoryBytes() > 0);
    assert.ok(await launched.processorTimeMs() > 0);
    assert.equal(await launched.stop(), 7);
});

test("launchProcess rejects with the log of a process that exits before it is ready", async t => {
    const folder = await mkdtemp(path.join(tmpdir(), "launch-"));
    t.after(() => rm(folder, { recursive: true }));
    const mainFile = path.join(folder, "server.cjs");
    await writeFile(mainFile, "console.error('no such model'); process.exit(3);");
    const readiness = { kind: "port", port: await freePort() } as const;
    await assert.rejects(
        launchProcess({ name: "server", mainFile, folder, readiness }),
        /server exited:\nno such model/u,
    );
});
