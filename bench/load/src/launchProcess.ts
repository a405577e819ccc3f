import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { spawn } from "node:child_process";
import { closeSync, openSync } from "node:fs";
import { mkdir, writeFile } from "node:fs/promises";
import path from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { stringify } from "yaml";
import { isReady } from "./isReady.js";
import { LaunchedProcess } from "./launchedProcess.js";
import type { LaunchOptions } from "./launchOptions.js";

const DEFAULT_READY_TIMEOUT_MS = 15_000;
const PROBE_INTERVAL_MS = 50;
const LOG_TAIL_LENGTH = 2000;

/**
 * Starts `node MAIN_FILE --settings FILE` and waits until it is ready. Throws `LAUNCH_FAILED` with the end of its log
 * where the process exits or doesn't become ready before the timeout.
 */
export async function launchProcess(opts: LaunchOptions): Promise<LaunchedProcess> {
    await mkdir(opts.folder, { recursive: true });
    const settingsArguments = await writeSettings(opts);
    const logFile = path.join(opts.folder, `${opts.name}.log`);
    const log = openSync(logFile, "a");
    const child = spawn(
        process.execPath,
        [...opts.nodeArguments ?? [], opts.mainFile, ...settingsArguments, ...opts.arguments ?? []],
        { stdio: ["ignore", log, log], env: { ...process.env, ...opts.environment } },
    );
    closeSync(log);
    const launched = new LaunchedProcess({ name: opts.name, logFile, child });
    await waitUntilReady(launched, opts);
    return launched;
}

async function writeSettings(opts: LaunchOptions): Promise<string[]> {
    if (opts.settings === undefined) {
        return [];
    }
    const file = path.join(opts.folder, `${opts.name}.yaml`);
    await writeFile(file, stringify(opts.settings));
    return ["--settings", file];
}

async function waitUntilReady(launched: LaunchedProcess, opts: LaunchOptions): Promise<void> {
    if (opts.readiness === undefined) {
        return;
    }
    const deadlineMs = performance.now() + (opts.readyTimeoutMs ?? DEFAULT_READY_TIMEOUT_MS);
    while (!await isReady(opts.readiness)) {
        if (launched.hasExited || performance.now() > deadlineMs) {
            const reason = launched.hasExited ? "exited" : "did not become ready before the timeout";
            await launched.kill();
            const log = await launched.readLog();
            throw new KnapweedError("LAUNCH_FAILED", `${opts.name} ${reason}:\n${log.slice(-LOG_TAIL_LENGTH)}`);
        }
        await sleep(PROBE_INTERVAL_MS);
    }
}
