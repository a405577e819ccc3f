import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import { encodeRecord } from "@knapweedwood/batch.records/encodeRecord";
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { fleetKeys } from "@knapweedwood/fleet.sync/fleetKeys";
import type { LeaderRecord } from "@knapweedwood/fleet.sync/leaderRecord";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import { mock } from "node:test";
import type { HeldJob } from "../src/heldJob.js";
import { jobKeys } from "../src/jobKeys.js";
import { planJobWrite } from "../src/planJobWrite.js";
import type { ResultsPage } from "../src/resultsPage.js";
import { createJobRecord } from "./createJobRecord.js";
import type { FleetStep, TargetStep } from "./fleetStep.js";
import { MemorySegments } from "./memorySegments.js";
import { ResultsObserver } from "./resultsObserver.js";
import { SimulatedRunner } from "./simulatedRunner.js";
import { SimulatedUpstreams } from "./simulatedUpstreams.js";

const RUNNERS = 3;
const DUE_MS = 20_000;
/** Copies with which a held job is accepted. */
const HELD_COPIES = 2;
const HAND_OVER_MS = 2000;
/** Time in which every item gets a result once nothing fails any more, in milliseconds. */
const CALM_MS = 60_000;
const CALM_CHECK_MS = 3000;
/** Positions before this one are read. */
const MAX_READ_POSITION = 40;
/** Time for which ended jobs are removed after their retention time, in milliseconds. */
const REMOVAL_MS = 20_000;
/** Time for which the fleet runs on after the last result, in milliseconds. The margin for expired jobs is shorter. */
const AFTERMATH_MS = 6000;

/** Several runner processes with one key-value service, whose results are observed while steps disturb them. */
export class SimulatedJobFleet {
    readonly observer: ResultsObserver;
    private readonly clock = new ManualClock();
    private readonly service = new MemoryKeyValueService({ clock: this.clock });
    private readonly random: SeededRandom;
    private readonly upstreams = new SimulatedUpstreams(this.clock);
    private readonly disks = Array.from({ length: RUNNERS }, () => new MemorySegments());
    private readonly runners: SimulatedRunner[];
    private readonly submitted: JobId[] = [];
    private readonly resultRetentionMs: number;
    /** Time at which all submitted jobs have been accepted at all places, on the clock. */
    private lastAcceptanceAtMs = 0;
    /** Disturbances to come as soon as results of a job have been removed, shape [steps]. */
    private readonly atRemoval: TargetStep[] = [];
    private readonly closing = new AbortController();
    /** Leases ask for the time of day, too. With the simulated one a case doesn't depend on how busy the machine is. */
    private readonly timeOfDay = mock.method(Date, "now", () => this.clock.nowMs());

    /** @param opts.resultRetentionMs time for which an ended job stays readable, in milliseconds */
    constructor(opts: { seed: number; resultRetentionMs: number; }) {
        const { resultRetentionMs } = opts;
        this.resultRetentionMs = resultRetentionMs;
        this.random = new SeededRandom(opts.seed);
        this.observer = new ResultsObserver({ upstreams: this.upstreams, resultRetentionMs });
        this.runners = this.disks.map((_, index) => this.createRunner(index));
        this.runners.forEach(runner => runner.start());
        void this.observeResults();
        void this.observeJobs();
    }

    /** Carries out a step and lets `waitMs` pass. */
    async step(step: FleetStep, waitMs: number): Promise<void> {
        switch (step.kind) {
            case "submit":
                await Promise.all(Array.from({ length: step.jobs }, () => this.submit(step)));
                break;
            case "cancel":
                await this.cancel(this.submitted[step.job % this.submitted.length]);
                break;
            case "at-removal":
                this.atRemoval.push(step.disturbance);
                break;
            case "lose-power":
                this.runners.forEach((_, index) => this.kill(index, step.downMs));
                break;
            case "end-lease":
                await this.endLeaderLease();
                break;
            case "run":
                this.upstreams.behaviours.push(...step.behaviours);
                break;
            case "wait":
                break;
            default:
                await this.disturb(step);
        }
        await this.clock.advance(waitMs);
        this.readAll();
    }

    /**
     * Ends all disturbances, waits for all results and for jobs to be removed, and checks that a further change of leaders
     * adds no results and opens no job again.
     */
    async calmDown(): Promise<void> {
        this.upstreams.behaviours = [];
        this.atRemoval.length = 0;
        await this.clock.advance(Math.max(0, this.lastAcceptanceAtMs - this.clock.nowMs()));
        this.runners.forEach((_, index) => this.repair(index));
        for (let elapsedMs = 0; elapsedMs < CALM_MS && !this.isDone(); elapsedMs += CALM_CHECK_MS) {
            await this.clock.advance(CALM_CHECK_MS);
        }
        this.observer.violations.push(...this.observer.itemsWithoutResult().map(itemId => `${itemId}: no result`));
        await this.clock.advance(Number.isFinite(this.resultRetentionMs) ? this.resultRetentionMs + REMOVAL_MS : 0);
        this.runners.forEach((_, index) => this.kill(index, 1));
        await this.clock.advance(AFTERMATH_MS);
        this.observer.violations.push(
            ...this.runners.filter(({ held }) => held.count !== 0).map(({ name }) => `${name} still holds jobs`),
        );
        this.readAll();
        await this.clock.advance(CALM_CHECK_MS);
    }

    /** Ends all processes. */
    close(): void {
        this.runners.forEach(runner => runner.clock.kill());
        this.closing.abort();
        this.timeOfDay.mock.restore();
        this.service.close();
    }

    private isDone(): boolean {
        return this.observer.itemsWithoutResult().length === 0;
    }

    private createRunner(index: number): SimulatedRunner {
        const runner: SimulatedRunner = new SimulatedRunner({
            name: `runner-${index}`,
            clock: this.clock,
            service: this.service,
            random: this.random,
            upstreams: this.upstreams,
            segments: this.disks[index]!,
            others: () => this.runners.filter(other => other !== runner && !other.clock.isDead),
            otherCount: RUNNERS - 1,
            resultRetentionMs: this.resultRetentionMs,
            onRunBegun: (itemId, { connectedSinceMs }) =>
                this.observer.onRunBegun(itemId, { nowMs: this.clock.nowMs(), connectedSinceMs }),
        });
        return runner;
    }

    private async observeResults(): Promise<void> {
        const { signal } = this.closing;
        for await (const batch of this.service.watch(jobKeys.resultsPrefix, { afterRevision: 0, signal })) {
            this.observer.onStored(batch.puts, this.clock.nowMs());
            if (this.observer.onResultsRemoved(batch.deletedKeys, this.clock.nowMs())) {
                await Promise.all(this.atRemoval.splice(0).map(step => this.disturb(step)));
            }
        }
    }

    private async observeJobs(): Promise<void> {
        const { signal } = this.closing;
        for await (const batch of this.service.watch(jobKeys.jobsPrefix, { afterRevision: 0, signal })) {
            this.observer.onJobsStored(batch.puts.map(({ key }) => key));
            this.observer.onJobsRemoved(batch.deletedKeys, this.clock.nowMs());
        }
    }

    private async submit(step: Extract<FleetStep, { kind: "submit"; }>): Promise<void> {
        const hasHolders = this.runners.filter(({ clock }) => clock.isRunning).length >= HELD_COPIES;
        if (step.via === "held" && !hasHolders) {
            return;
        }
        const { via, delayMs } = step;
        this.lastAcceptanceAtMs = Math.max(this.lastAcceptanceAtMs, this.clock.nowMs() + delayMs);
        const job = this.createJob(step);
        this.submitted.push(job.record.jobId);
        this.observer.onSubmitted(job.record);
        if (step.failsAs !== undefined) {
            const { failsAs } = step;
            job.record.items.forEach(({ id }) => this.upstreams.failing.set(id, failsAs));
        }
        if (via === "held" || via === "both") {
            await this.hold(job, step.holderDownMs);
        }
        if (via === "store" || via === "resent") {
            void this.store(job);
        }
        if (via === "both") {
            this.clock.setTimer(delayMs, () => void this.store(this.acceptLater(job, delayMs)));
        }
        if (via === "resent") {
            this.clock.setTimer(delayMs, () => void this.hold(this.acceptLater(job, delayMs), step.holderDownMs));
        }
    }

    private createJob({ items: itemCount, retentionMs }: Extract<FleetStep, { kind: "submit"; }>): HeldJob {
        const acceptedAtMs = this.clock.nowMs();
        const id = `job-${this.submitted.length}`;
        const created = createJobRecord({ id, itemCount, dueAtMs: acceptedAtMs + DUE_MS });
        const record = { ...created, acceptedAtMs, expiresAtMs: acceptedAtMs + retentionMs };
        return { record, bodies: Buffer.alloc(0), maxWaitingTokens: undefined };
    }

    /** Returns the job as another process accepts it later. */
    private acceptLater(job: HeldJob, byMs: number): HeldJob {
        const { acceptedAtMs, expiresAtMs, dueAtMs, nonce } = job.record;
        const record = {
            ...job.record,
            acceptedAtMs: acceptedAtMs + byMs,
            expiresAtMs: expiresAtMs + byMs,
            dueAtMs: dueAtMs + byMs,
            nonce: `${nonce}-later`,
        };
        return { ...job, record };
    }

    private async hold(job: HeldJob, holderDownMs: number | undefined): Promise<void> {
        const holders = this.runners.filter(({ clock }) => clock.isRunning);
        await Promise.all(holders.map(({ held }) => held.hold(job)));
        if (holderDownMs !== undefined && holders.length > 0) {
            const holder = holders[Math.floor(this.random.next() * holders.length)]!;
            this.kill(this.runners.indexOf(holder), holderDownMs);
        }
    }

    /** Stores a job unless it is stored or was removed. */
    private async store(job: HeldJob): Promise<void> {
        const key = jobKeys.waitingTokens(job.record.routeName);
        for (let isSettled = false; !isSettled;) {
            const entry = await this.service.get(key);
            const { compares, operations } = planJobWrite(job, entry);
            const result = await this.service.transact(compares, operations);
            isSettled = result.succeeded || result.current.some(other => other.key !== key);
        }
    }

    private async cancel(jobId: JobId | undefined): Promise<void> {
        if (jobId === undefined || await this.service.get(jobKeys.record(jobId)) === undefined) {
            return;
        }
        const key = jobKeys.cancellation(jobId);
        const value = encodeRecord({ cancelled: true });
        await this.service.transact([{ key, modRevision: 0 }], [{ kind: "put", key, value }]);
        this.observer.onCancelled(jobId, this.clock.nowMs());
    }

    private async endLeaderLease(): Promise<void> {
        const leaseId = (await this.service.get(fleetKeys.jobsLeader))?.leaseId;
        if (leaseId !== undefined) {
            this.service.faults.expireLease(leaseId);
        }
    }

    private async disturb(step: TargetStep): Promise<void> {
        const index = await this.indexOf(step.target);
        const runner = this.runners[index]!;
        switch (step.kind) {
            case "kill":
                this.kill(index, step.downMs);
                break;
            case "replace":
                runner.clock.run(() => void runner.handOver());
                this.clock.setTimer(HAND_OVER_MS, () => this.kill(index, step.downMs, runner));
                break;
            case "freeze":
                runner.clock.freeze(step.stopsClock);
                runner.connectedSinceMs = Infinity;
                this.clock.setTimer(step.durationMs, () => this.reconnect(runner, () => runner.clock.wake()));
                break;
            case "cut-off":
                runner.connection.state = step.state;
                runner.connectedSinceMs = Infinity;
                this.clock.setTimer(step.durationMs, () =>
                    this.reconnect(runner, () => {
                        runner.connection.state = "connected";
                    }));
                break;
            case "lose-responses":
                runner.connection.responsesToLose = step.count;
                break;
            case "late-writes":
                runner.connection.lateWriteDelaysMs = [...step.delaysMs];
                break;
            case "slow-reads":
                runner.connection.maxReadDelayMs = step.maxDelayMs;
                break;
        }
    }

    private async indexOf(target: TargetStep["target"]): Promise<number> {
        if (target !== "leader") {
            return target % RUNNERS;
        }
        const entry = await this.service.get(fleetKeys.jobsLeader);
        const name = entry === undefined ? "runner-0" : decodeRecord<LeaderRecord>(entry.value).instanceName;
        return Number(name.split("-").at(-1));
    }

    /** Kills a runner and starts it again after `downMs`. Does nothing if it isn't `expected` any more. */
    private kill(index: number, downMs: number, expected = this.runners[index]!): void {
        const runner = this.runners[index]!;
        if (runner !== expected || runner.clock.isDead) {
            return;
        }
        runner.clock.kill();
        this.clock.setTimer(downMs, () => this.restart(index, runner));
    }

    private restart(index: number, dead: SimulatedRunner): void {
        if (this.runners[index] === dead) {
            const runner = this.createRunner(index);
            runner.connection.maxReadDelayMs = dead.connection.maxReadDelayMs;
            this.runners[index] = runner;
            runner.start();
        }
    }

    /** Ends a disturbance. The process counts as connected again only if no other one lasts. */
    private reconnect(runner: SimulatedRunner, end: () => void): void {
        end();
        const isConnected = runner.clock.isRunning && runner.connection.state === "connected";
        runner.connectedSinceMs = isConnected ? this.clock.nowMs() : Infinity;
    }

    private repair(index: number): void {
        const runner = this.runners[index]!;
        if (runner.clock.isDead) {
            this.restart(index, runner);
            return;
        }
        runner.connection.state = "connected";
        runner.connection.responsesToLose = 0;
        runner.connection.lateWriteDelaysMs = [];
        this.reconnect(runner, () => runner.clock.wake());
    }

    /** Reads all jobs at all running processes. One that isn't certain to lead rejects the read. */
    private readAll(): void {
        const { signal } = this.closing;
        this.runners.filter(({ clock }) => clock.isRunning).forEach(({ runner, storedReader }) =>
            this.submitted.forEach(jobId => {
                this.check(jobId, 0, runner.reader.results({ jobId, after: 0, waitMs: 0, signal }));
                const after = Math.floor(this.random.next() * MAX_READ_POSITION);
                this.check(jobId, after, storedReader.results({ jobId, after }));
            })
        );
    }

    private check(jobId: JobId, after: number, page: Promise<ResultsPage | undefined>): void {
        page.then(
            read => read === undefined ? undefined : this.observer.onPage(jobId, after, read.results),
            () => undefined,
        );
    }
}
