import type { Random } from "@knapweedwood/core.random/random";
import { setTimeout as sleep } from "node:timers/promises";
import type { ChurnFleet } from "./churnFleet.js";
import type { ProcessRun } from "./processRun.js";

const PAUSE_MS = 3_000;
const OUTAGE_MS = 5_000;
const RESTART_DELAY_MS = 500;

/** Injects process kills and pauses, key-value outages and lost key-value responses while revisions are published. */
export class ChurnFaults {
    /** Number of faults by kind. A kill or pause counts even if no process was available for it. */
    readonly counts = { kills: 0, pauses: 0, outages: 0, lostAnswers: 0 };
    private readonly fleet: ChurnFleet;
    private readonly random: Random;
    private readonly activeFaults = new Set<Promise<void>>();
    private readonly affectedInstances = new Set<string>();

    constructor(opts: { fleet: ChurnFleet; random: Random; }) {
        this.fleet = opts.fleet;
        this.random = opts.random;
    }

    /** Kills a random process and restarts its instance after 500 ms. */
    kill(): void {
        this.counts.kills += 1;
        this.runOnRandomProcess(async run => {
            await this.fleet.kill(run);
            await sleep(RESTART_DELAY_MS);
            await this.fleet.launch(run.instanceId);
        });
    }

    /** Suspends a random process for 3 s. */
    pause(): void {
        this.counts.pauses += 1;
        this.runOnRandomProcess(async run => {
            const fromMs = Date.now();
            run.pauses.push({ fromMs, untilMs: fromMs + PAUSE_MS });
            run.launched.pause();
            await sleep(PAUSE_MS);
            run.launched.resume();
        });
    }

    /** Makes the key-value service unavailable for 5 s. */
    outage(): void {
        this.counts.outages += 1;
        this.fleet.keyValue.applyFaults({ outage: true });
        this.track(sleep(OUTAGE_MS).then(() => this.fleet.keyValue.applyFaults({ outage: false })));
    }

    /** Lets the next write to the key-value service take effect without a response. */
    loseResponse(): void {
        this.counts.lostAnswers += 1;
        this.fleet.keyValue.applyFaults({ loseAnswers: 1 });
    }

    /** Waits until all active faults have ended. */
    async settle(): Promise<void> {
        await Promise.all(this.activeFaults);
    }

    private runOnRandomProcess(action: (run: ProcessRun) => Promise<void>): void {
        const candidates = this.fleet.runningProcesses().filter(run => !this.affectedInstances.has(run.instanceId));
        const run = candidates[this.random.nextInteger(candidates.length)];
        if (run !== undefined) {
            this.affectedInstances.add(run.instanceId);
            this.track(action(run).finally(() => this.affectedInstances.delete(run.instanceId)));
        }
    }

    private track(fault: Promise<void>): void {
        const tracked = fault.finally(() => this.activeFaults.delete(tracked));
        this.activeFaults.add(tracked);
    }
}
