import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { readFile } from "node:fs/promises";

const PAGE_SIZE_BYTES = 4096;
const TICK_MS = 10;
const DEFAULT_STOP_TIMEOUT_MS = 15_000;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** A child process of this program, which is signalled by its process id. */
export class LaunchedProcess {
    readonly name: string;
    readonly logFile: string;
    private readonly child: ChildProcess;

    constructor(opts: { name: string; logFile: string; child: ChildProcess; }) {
        this.name = opts.name;
        this.logFile = opts.logFile;
        this.child = opts.child;
    }

    get pid(): number {
        return this.child.pid ?? 0;
    }

    get hasExited(): boolean {
        return this.child.exitCode !== null || this.child.signalCode !== null;
    }

    /** Exit code; undefined while the process runs and after a signal ended it. */
    get exitCode(): number | undefined {
        return this.child.exitCode ?? undefined;
    }

    /** Sends SIGTERM, then SIGKILL where the process hasn't exited before the timeout. Returns the exit code. */
    async stop(timeoutMs = DEFAULT_STOP_TIMEOUT_MS): Promise<number | undefined> {
        const killTimer = setTimeout(() => this.child.kill("SIGKILL"), timeoutMs);
        await this.end("SIGTERM");
        clearTimeout(killTimer);
        return this.exitCode;
    }

    /** Kills the process immediately, as the loss of its instance would. */
    kill(): Promise<void> {
        return this.end("SIGKILL");
    }

    /** Suspends the process until `resume`. */
    pause(): void {
        this.child.kill("SIGSTOP");
    }

    resume(): void {
        this.child.kill("SIGCONT");
    }

    /** Returns the resident memory. */
    async residentMemoryBytes(): Promise<number> {
        const [, residentPages = 0] = (await this.readProcess("statm")).split(" ").map(Number);
        return residentPages * PAGE_SIZE_BYTES;
    }

    /** Returns the processor time used so far, user and system. */
    async processorTimeMs(): Promise<number> {
        const stat = await this.readProcess("stat");
        const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
        return (Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD])) * TICK_MS;
    }

    readLog(): Promise<string> {
        return readFile(this.logFile, "utf8");
    }

    private readProcess(file: string): Promise<string> {
        return readFile(`/proc/${this.pid}/${file}`, "utf8");
    }

    private async end(signal: NodeJS.Signals): Promise<void> {
        if (this.hasExited) {
            return;
        }
        const exited = once(this.child, "exit");
        this.child.kill(signal);
        await exited;
    }
}
