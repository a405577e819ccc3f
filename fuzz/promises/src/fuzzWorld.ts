import { Fleet } from "./fleet.js";
import { JobClient } from "./jobClient.js";
import { KeyedCaller } from "./keyedCaller.js";
import { Oracle } from "./oracle.js";
import type { SimulatedEntry } from "./simulatedEntry.js";
import type { SimulationOptions } from "./simulationOptions.js";
import type { Step } from "./step.js";
import type { Submission } from "./submission.js";

const START_UP_MS = 4000;
const STEP_MS = 150;
const CANCEL_AFTER_MS = 3500;
/** How long a fault may show after it has ended. */
const AFTERMATH_MS = 8000;

/** A simulated fleet with its callers and its oracle. */
export class FuzzWorld {
    readonly fleet: Fleet;
    readonly oracle: Oracle;
    private readonly jobs: JobClient;
    private readonly calls: KeyedCaller;
    private hasTornFolder = false;

    constructor(opts: { seed: number; options: SimulationOptions; }) {
        this.fleet = new Fleet(opts);
        this.oracle = new Oracle(this.fleet.platform);
        this.jobs = new JobClient({ fleet: this.fleet, oracle: this.oracle });
        this.calls = new KeyedCaller({ fleet: this.fleet, oracle: this.oracle });
    }

    start(): Promise<void> {
        return this.fleet.advance(START_UP_MS);
    }

    /** Takes one step and checks the promises after it. */
    async take(step: Step): Promise<void> {
        await this.apply(step);
        await this.fleet.advance(step.kind === "wait" ? step.durationMs : STEP_MS);
        await this.oracle.check();
    }

    /** Cancels a job of long streams without any fault about. */
    async checkCancel(): Promise<void> {
        this.oracle.faultsUntilMs = 0;
        const behaviours = Array.from({ length: 6 }, () => "slow" as const);
        await this.take({ kind: "submit", entry: 0, key: 0, service: "chat", behaviours, twice: false });
        await this.take({ kind: "wait", durationMs: CANCEL_AFTER_MS });
        await this.take({ kind: "cancel", entry: 1, job: this.oracle.submissions.length - 1 });
        await this.take({ kind: "wait", durationMs: CANCEL_AFTER_MS });
    }

    private async apply(step: Step): Promise<void> {
        const { fleet } = this;
        const { keyValue, network } = fleet.platform;
        switch (step.kind) {
            case "submit":
                return this.background(
                    step.entry,
                    entry => this.jobs.submit(entry, { ...step, other: this.otherEntry(step) }),
                );
            case "resend":
                return this.withJob(step, (entry, submission) => this.jobs.send(entry, submission));
            case "cancel":
                return this.withJob(step, (entry, submission) => this.jobs.cancel(entry, submission));
            case "read":
                return this.withJob(step, () => Promise.resolve());
            case "keyed-call":
                return this.entriesOf(step).forEach(preferred =>
                    this.background(preferred, entry => this.calls.call(entry, { ...step, key: `key-${step.key}` }))
                );
            case "wait":
                return;
            case "crash-entry":
                this.noteFault(0);
                return this.withEntry(step.entry, index => fleet.crashEntry(index));
            case "stop-entry":
                this.noteFault(0);
                return this.withEntry(step.entry, index => void fleet.stopEntry(index));
            case "pause-entry":
                return this.withEntry(step.entry, index => this.pause(fleet.entries[index].gate, step.durationMs));
            case "crash-side":
                this.noteFault(0);
                return fleet.crashSide(step.side % fleet.sides.length);
            case "pause-side":
                return this.pause(fleet.sides[step.side % fleet.sides.length].gate, step.durationMs);
            case "outage":
                keyValue.faults.outage = true;
                return this.endLater(step.durationMs, () => keyValue.faults.outage = false);
            case "slow-writes":
                keyValue.faults.delayMs = step.delayMs;
                return this.endLater(step.durationMs, () => keyValue.faults.delayMs = 0);
            case "lose-write-answers":
                this.noteFault(0);
                return keyValue.faults.loseNextResponses(step.count);
            case "lose-call-answers":
                this.noteFault(0);
                return network.loseNextAnswers(step.count);
            case "duplicate-calls":
                this.noteFault(0);
                return network.duplicateNextCalls(step.count);
            case "silence":
                this.noteFault(step.durationMs);
                return this.withEntry(step.entry, index => {
                    const side = `side-${step.side % fleet.sides.length}:1`;
                    network.silence(fleet.entries[index].address, side, step.durationMs);
                });
            case "lapse-leases":
                this.noteFault(0);
                return this.lapseLeases();
            case "fill-disk": {
                const folder = fleet.dataFolders[step.entry % fleet.dataFolders.length];
                folder.isFull = true;
                return this.endLater(step.durationMs, () => folder.isFull = false);
            }
            case "tear-folder":
                this.tearFolder();
                return;
        }
    }

    private withJob(
        step: { entry: number; job: number; },
        action: (entry: SimulatedEntry, submission: Submission) => Promise<void>,
    ): void {
        const { submissions } = this.oracle;
        if (submissions.length > 0) {
            this.background(step.entry, entry => action(entry, submissions[step.job % submissions.length]));
        }
    }

    /** Starts a request that may hang; a violation that it sees is reported at the next check. */
    private background(preferred: number, action: (entry: SimulatedEntry) => Promise<void>): void {
        const entry = this.fleet.liveEntry(preferred % this.fleet.entries.length);
        if (entry !== undefined) {
            action(entry).catch((error: unknown) => this.oracle.report(error));
        }
    }

    private withEntry(preferred: number, action: (index: number) => void): void {
        const index = preferred % this.fleet.entries.length;
        if (!this.fleet.entries[index].gate.dead) {
            action(index);
        }
    }

    private pause(gate: { pause(): void; resume(): void; }, durationMs: number): void {
        gate.pause();
        this.endLater(durationMs, () => gate.resume());
    }

    private endLater(durationMs: number, end: () => void): void {
        this.noteFault(durationMs);
        this.fleet.clock.setTimer(durationMs, end);
    }

    private noteFault(durationMs: number): void {
        const untilMs = this.fleet.clock.nowMs() + durationMs + AFTERMATH_MS;
        this.oracle.faultsUntilMs = Math.max(this.oracle.faultsUntilMs, untilMs);
    }

    /** The entries that a request goes to at once. */
    private entriesOf(step: { entry: number; twice: boolean; }): number[] {
        return step.twice ? [step.entry, step.entry + 1] : [step.entry];
    }

    private otherEntry(step: { entry: number; twice: boolean; }): SimulatedEntry | undefined {
        return step.twice ? this.fleet.liveEntry((step.entry + 1) % this.fleet.entries.length) : undefined;
    }

    /** Ends the leases of all owners at once. They learn it later. */
    private lapseLeases(): void {
        const { keyValue } = this.fleet.platform;
        this.fleet.leaseIds().forEach(leaseId => keyValue.faults.expireLease(leaseId));
    }

    /** Only one folder is torn in a case: two copies bear the loss of one. */
    private tearFolder(): void {
        if (!this.hasTornFolder) {
            this.hasTornFolder = true;
            this.noteFault(0);
            this.fleet.dataFolders[0].tear();
        }
    }
}
