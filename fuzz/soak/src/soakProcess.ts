import type { ProcessSettings } from "@knapweedwood/fleet.view/processSettings";
import { settingsPathVariable } from "@knapweedwood/platform.adapter/settingsPathVariable";
import { encodeProcessSettings } from "@knapweedwood/platform.standins/encodeProcessSettings";
import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, mkdirSync, readdirSync, rmSync, statSync, truncateSync, writeFileSync } from "node:fs";
import path from "node:path";
import type { SoakRecord } from "./soakRecord.js";

/** Heap limit of the programs, as in their deploy file. */
const HEAP_FLAG = "--max-old-space-size=200";
const KILL_AFTER_GRACE_MS = 400;
/** Time after which the signal to stop is sent again, in milliseconds. */
const REPEAT_SIGNAL_MS = 500;

interface SoakProcessOptions {
    root: string;
    /** Folder for settings, data and logs of this process. */
    folder: string;
    program: "gateway" | "runner";
    settings: ProcessSettings;
    record: SoakRecord;
    nowMs: () => number;
}

/**
 * A real gateway or runner process, ended by signals. Its output is appended to a file. An exit that was not requested
 * is recorded, and the process is started again.
 */
export class SoakProcess {
    readonly settings: ProcessSettings;
    /** Number of starts so far. */
    startNumber = 0;
    private readonly opts: SoakProcessOptions;
    private child: ChildProcess | undefined;
    private isEnding = false;

    constructor(opts: SoakProcessOptions) {
        this.opts = opts;
        this.settings = opts.settings;
        mkdirSync(opts.folder, { recursive: true });
        if (opts.settings.dataFolder !== undefined) {
            mkdirSync(opts.settings.dataFolder, { recursive: true });
        }
    }

    get name(): string {
        return this.settings.instanceName;
    }

    get isRunning(): boolean {
        return this.child !== undefined;
    }

    start(): void {
        const settingsFile = path.join(this.opts.folder, "settings.toml");
        writeFileSync(settingsFile, encodeProcessSettings(this.settings));
        this.startNumber += 1;
        this.isEnding = false;
        const child = spawn(process.execPath, [HEAP_FLAG, "target/launch.cjs", this.opts.program], {
            cwd: this.opts.root,
            env: { PATH: process.env.PATH, [settingsPathVariable]: settingsFile },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const output = createWriteStream(path.join(this.opts.folder, "output.log"), { flags: "a" });
        child.stdout.pipe(output, { end: false });
        child.stderr.pipe(output, { end: false });
        this.child = child;
        child.on("exit", (code, signal) => this.onExit(child, code, signal));
    }

    signal(name: "SIGHUP" | "SIGSTOP" | "SIGCONT"): void {
        this.child?.kill(name);
    }

    /** Kills the process without warning and resolves when it has exited. */
    async kill(): Promise<void> {
        await this.terminate("SIGKILL");
    }

    /** Stops the process gracefully, with two signals, and resolves when it has exited. Kills it after its grace period. */
    async stop(): Promise<void> {
        const timer = setTimeout(() => this.child?.kill("SIGKILL"), this.settings.stopGraceMs + KILL_AFTER_GRACE_MS);
        const repeating = setTimeout(() => this.child?.kill("SIGTERM"), REPEAT_SIGNAL_MS);
        await this.terminate("SIGTERM");
        clearTimeout(repeating);
        clearTimeout(timer);
    }

    /** Deletes the data folder's content. The process must not be running. */
    wipeDisk(): void {
        const folder = this.settings.dataFolder;
        if (folder !== undefined) {
            rmSync(folder, { recursive: true, force: true });
            mkdirSync(folder);
        }
    }

    /** Truncates the newest file in the data folder to half its size, as a power loss may do. */
    tearNewestFile(): void {
        const folder = this.settings.dataFolder;
        const files = folder === undefined ? [] : readdirSync(folder, { recursive: true, withFileTypes: true })
            .filter(entry => entry.isFile())
            .map(entry => path.join(entry.parentPath, entry.name))
            .sort((left, right) => statSync(right).mtimeMs - statSync(left).mtimeMs);
        files.slice(0, 1).forEach(file => truncateSync(file, Math.floor(statSync(file).size / 2)));
    }

    private async terminate(signal: "SIGKILL" | "SIGTERM"): Promise<void> {
        const { child } = this;
        if (child === undefined) {
            return;
        }
        this.isEnding = true;
        const exited = new Promise(resolve => child.once("exit", resolve));
        child.kill(signal);
        await exited;
    }

    private onExit(child: ChildProcess, code: number | null, signal: string | null): void {
        if (this.child !== child) {
            return;
        }
        this.child = undefined;
        if (!this.isEnding) {
            this.opts.record.exits.push({ process: this.name, atMs: this.opts.nowMs(), code, signal });
            this.start();
        }
    }
}
