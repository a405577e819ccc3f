import type { LaunchedProcess } from "@knapweedwood/bench.load/launchedProcess";
import type { LaunchOptions } from "@knapweedwood/bench.load/launchOptions";
import { launchProcess } from "@knapweedwood/bench.load/launchProcess";

/** A process of the fleet that can be killed and restarted, or suspended and resumed. */
export class ManagedProcess {
    readonly instanceId: string;
    private readonly opts: LaunchOptions;
    private launched: LaunchedProcess | undefined;
    private isInterrupted = false;

    constructor(opts: LaunchOptions) {
        this.instanceId = opts.name;
        this.opts = opts;
    }

    /** Whether the process is running, neither killed nor paused. */
    get isRunning(): boolean {
        return this.launched !== undefined && !this.isInterrupted && !this.launched.hasExited;
    }

    async start(): Promise<void> {
        this.launched = await launchProcess(this.opts);
    }

    /** Kills the process and restarts it after `downMs`. */
    async killAndRestart(downMs: number, sleep: (ms: number) => Promise<void>): Promise<void> {
        this.isInterrupted = true;
        await this.launched?.kill();
        await sleep(downMs);
        await this.start();
        this.isInterrupted = false;
    }

    /** Suspends the process for `durationMs`. */
    async pause(durationMs: number, sleep: (ms: number) => Promise<void>): Promise<void> {
        this.isInterrupted = true;
        this.launched?.pause();
        await sleep(durationMs);
        this.launched?.resume();
        this.isInterrupted = false;
    }

    async stop(): Promise<void> {
        this.launched?.resume();
        await this.launched?.stop();
    }
}
