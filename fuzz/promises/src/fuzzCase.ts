import { Fleet } from "./fleet.js";
import { JobClient } from "./jobClient.js";
import { KeyedCaller } from "./keyedCaller.js";
import { Oracle } from "./oracle.js";
import type { SimulatedEntry } from "./simulatedEntry.js";
import type { SimulationOptions } from "./simulationOptions.js";
import type { Step } from "./step.js";
import type { Submission } from "./submission.js";

const STARTUP_MS = 4000;
const STEP_MS = 150;
const CANCEL_AFTER_MS = 3500;
/** How long a fault may have effects after its end. */
const FAULT_EFFECT_MS = 8000;

/** One fuzz case: a simulated fleet with its callers and its oracle. */
export class FuzzCase {
    readonly fleet: Fleet;
    readonly oracle: Oracle;
    private readonly jobs: JobClient;
    private readonly calls: KeyedCaller;
    private hasTruncatedFolder = false;

    constructor(opts: { seed: number; options: SimulationOptions; }) {
        this.fleet = new Fleet(opts);
        this.oracle = new Oracle(this.fleet.platform);
        this.jobs = new JobClient({ fleet: this.fleet, oracle: this.oracle });
        this.calls = new KeyedCaller({ fleet: this.fleet, oracle: this.oracle });
    }

    /** Advances the simulated time until the fleet has started. */
    start(): Promise<void> {
        return this.fleet.advance(STARTUP_MS);
    }

    /** Runs one step, then checks the promises. Rejects with the first violation. */
    async runStep(step: Step): Promise<void> {
        await this.apply(step);
        await this.fleet.advance(step.kind === "wait" ? step.durationMs : STEP_MS);
        await this.oracle.check();
    }

    /** Cancels a job of slow streams while no fault is active. Checks that its streams end in time. */
    async runCancelWithoutFaults(): Promise<void> {
        this.oracle.faultsUntilMs = 0;
        const behaviours = Array.from({ length: 6 }, () => "slow" as const);
        await this.runStep({ kind: "submit", entry: 0, key: 0, service: "chat", behaviours, twice: false });
        await this.runStep({ kind: "wait", durationMs: CANCEL_AFTER_MS });
        await this.runStep({ kind: "cancel", entry: 1, job: this.oracle.submissions.length - 1 });
        await this.runStep({ kind: "wait", durationMs: CANCEL_AFTER_MS });
    }

    private async apply(step: Step): Promise<void> {
        const { fleet } = this;
        const { keyValue, network } = fleet.platform;
        switch (step.kind) {
            case "submit":
                return this.startRequest(
                    step.entry,
                    entry => this.jobs.submit(entry, { ...step, secondEntry: this.secondEntry(step) }),
                );
            case "resend":
                return this.startJobRequest(step, (entry, submission) => this.jobs.send(entry, submission));
            case "cancel":
                return this.startJobRequest(step, (entry, submission) => this.jobs.cancel(entry, submission));
            case "read":
                return this.startJobRequest(step, () => Promise.resolve());
            case "keyed-call":
                return this.targetEntries(step).forEach(preferred =>
                    this.startRequest(preferred, entry => this.calls.call(entry, { ...step, key: `key-${step.key}` }))
                );
            case "wait":
                return;
            case "crash-entry":
                this.recordFault(0);
                return this.withLiveEntry(step.entry, index => fleet.crashEntry(index));
            case "stop-entry":
                this.recordFault(0);
                return this.withLiveEntry(step.entry, index => void fleet.stopEntry(index));
            case "pause-entry":
                return this.withLiveEntry(
                    step.entry,
                    index => this.pause(fleet.entries[index].lifecycle, step.durationMs),
                );
            case "crash-side":
                this.recordFault(0);
                return fleet.crashSide(step.side % fleet.sides.length);
            case "pause-side":
                return this.pause(fleet.sides[step.side % fleet.sides.length].lifecycle, step.durationMs);
            case "outage":
                keyValue.faults.outage = true;
                return this.endFaultAfter(step.durationMs, () => keyValue.faults.outage = false);
            case "slow-writes":
                keyValue.faults.delayMs = step.delayMs;
                return this.endFaultAfter(step.durationMs, () => keyValue.faults.delayMs = 0);
            case "lose-write-answers":
                this.recordFault(0);
                return keyValue.faults.loseNextResponses(step.count);
            case "lose-call-answers":
                this.recordFault(0);
                return network.loseNextResponses(step.count);
            case "duplicate-calls":
                this.recordFault(0);
                return network.duplicateNextCalls(step.count);
            case "silence":
                this.recordFault(step.durationMs);
                return this.withLiveEntry(step.entry, index => {
                    const side = `side-${step.side % fleet.sides.length}:1`;
                    network.silence(fleet.entries[index].address, side, step.durationMs);
                });
            case "lapse-leases":
                this.recordFault(0);
                return this.expireLeases();
            case "fill-disk": {
                const folder = fleet.dataFolders[step.entry % fleet.dataFolders.length];
                folder.isFull = true;
                return this.endFaultAfter(step.durationMs, () => folder.isFull = false);
            }
            case "tear-folder":
                this.truncateFolder();
                return;
        }
    }

    private startJobRequest(
        step: { entry: number; job: number; },
        action: (entry: SimulatedEntry, submission: Submission) => Promise<void>,
    ): void {
        const { submissions } = this.oracle;
        if (submissions.length > 0) {
            this.startRequest(step.entry, entry => action(entry, submissions[step.job % submissions.length]));
        }
    }

    /** Starts a request without waiting for it, as it may hang. Its rejection fails the next check. */
    private startRequest(preferred: number, action: (entry: SimulatedEntry) => Promise<void>): void {
        const entry = this.fleet.availableEntry(preferred % this.fleet.entries.length);
        if (entry !== undefined) {
            action(entry).catch((error: unknown) => this.oracle.recordViolation(error));
        }
    }

    private withLiveEntry(preferred: number, action: (index: number) => void): void {
        const index = preferred % this.fleet.entries.length;
        if (!this.fleet.entries[index].lifecycle.dead) {
            action(index);
        }
    }

    private pause(lifecycle: { pause(): void; resume(): void; }, durationMs: number): void {
        lifecycle.pause();
        this.endFaultAfter(durationMs, () => lifecycle.resume());
    }

    private endFaultAfter(durationMs: number, end: () => void): void {
        this.recordFault(durationMs);
        this.fleet.clock.setTimer(durationMs, end);
    }

    private recordFault(durationMs: number): void {
        const untilMs = this.fleet.clock.nowMs() + durationMs + FAULT_EFFECT_MS;
        this.oracle.faultsUntilMs = Math.max(this.oracle.faultsUntilMs, untilMs);
    }

    /** Returns the indexes of the entries that receive the request concurrently. */
    private targetEntries(step: { entry: number; twice: boolean; }): number[] {
        return step.twice ? [step.entry, step.entry + 1] : [step.entry];
    }

    private secondEntry(step: { entry: number; twice: boolean; }): SimulatedEntry | undefined {
        return step.twice ? this.fleet.availableEntry((step.entry + 1) % this.fleet.entries.length) : undefined;
    }

    /** Expires the leases of all live entries at once. The owners notice only later. */
    private expireLeases(): void {
        const { keyValue } = this.fleet.platform;
        this.fleet.leaseIds().forEach(leaseId => keyValue.faults.expireLease(leaseId));
    }

    /** Truncates the segments of one data folder, once a case: with two copies, only one may be lost. */
    private truncateFolder(): void {
        if (!this.hasTruncatedFolder) {
            this.hasTruncatedFolder = true;
            this.recordFault(0);
            this.fleet.dataFolders[0].truncateSegments();
        }
    }
}
