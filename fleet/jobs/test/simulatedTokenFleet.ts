import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { ItemId } from "@knapweedwood/core.ids/itemId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { fleetKeys } from "@knapweedwood/fleet.sync/fleetKeys";
import type { LeaderRecord } from "@knapweedwood/fleet.sync/leaderRecord";
import { PrefixMirror } from "@knapweedwood/fleet.sync/prefixMirror";
import { ProcessLease } from "@knapweedwood/fleet.sync/processLease";
import type { Route } from "@knapweedwood/fleet.view/route";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import { mock } from "node:test";
import type { Acceptance } from "../src/acceptance.js";
import type { HoldOutcome } from "../src/holdOutcome.js";
import type { HoldRequest } from "../src/holdRequest.js";
import type { HoldResponse } from "../src/holdResponse.js";
import { JobAcceptor } from "../src/jobAcceptor.js";
import type { JobHoldHandler } from "../src/jobHoldHandler.js";
import { StoredCountTrust } from "../src/storedCountTrust.js";
import { MemorySegments } from "./memorySegments.js";
import { ProcessClock } from "./processClock.js";
import { SimulatedConnection } from "./simulatedConnection.js";
import { SimulatedRunner } from "./simulatedRunner.js";
import { SimulatedUpstreams } from "./simulatedUpstreams.js";

const RUNNERS = 3;
const REPORT_INTERVAL_MS = 300;
const REACHABLE_MS = 1800;
const HOLD_TIMEOUT_MS = 2500;

type ConnectionState = SimulatedConnection["state"];

/** One start of a gateway process, as far as it accepts jobs. */
interface SimulatedGateway {
    clock: ProcessClock;
    connection: SimulatedConnection;
    acceptor: JobAcceptor;
    closing: AbortController;
    isReachable: () => boolean;
    updateTrust: () => boolean;
}

/** Gateways and runners that accept jobs of routes with a limit. No item ever ends, so that all accepted tokens wait. */
export class SimulatedTokenFleet {
    readonly clock = new ManualClock();
    readonly service = new MemoryKeyValueService({ clock: this.clock });
    /** Tokens of the jobs that were accepted, by job. */
    readonly accepted = new Map<string, number>();
    private readonly random: SeededRandom;
    private readonly disks = Array.from({ length: RUNNERS }, () => new MemorySegments());
    private readonly runners: SimulatedRunner[];
    private readonly gateways: SimulatedGateway[];
    private readonly handlers = new WeakMap<SimulatedRunner, JobHoldHandler>();
    /** What the last load reports said of the key-value service, by process. */
    private reported = new Map<string, boolean>();
    private jobsRevision = 0;
    private leaderName: string | undefined;
    private readonly closing = new AbortController();
    private readonly timeOfDay = mock.method(Date, "now", () => this.clock.nowMs());

    constructor(opts: { seed: number; gateways: number; }) {
        this.random = new SeededRandom(opts.seed);
        this.runners = this.disks.map((_, index) => this.startRunner(index));
        this.gateways = Array.from({ length: opts.gateways }, () => this.startGateway());
        this.reportPeriodically();
    }

    /** Submits a job at a gateway. */
    async submit(gateway: number, job: { id: string; tokens: number; route: Route; }): Promise<Acceptance> {
        const { id, tokens, route } = job;
        const item = { id: `${id}-0` as ItemId, path: "/p/", headers: [], body: Buffer.from("b"), tokens };
        const acceptance = await this.gateways[gateway]!.acceptor.accept(route, { jobId: id as JobId, items: [item] });
        if (acceptance.kind === "accepted") {
            this.accepted.set(id, tokens);
            this.jobsRevision = Math.max(this.jobsRevision, acceptance.revision);
        }
        return acceptance;
    }

    setRunner(index: number, state: ConnectionState): void {
        this.runners[index]!.connection.state = state;
    }

    setGateway(index: number, state: ConnectionState): void {
        this.gateways[index]!.connection.state = state;
    }

    setAll(state: ConnectionState): void {
        [...this.runners, ...this.gateways].forEach(({ connection }) => {
            connection.state = state;
        });
    }

    /** Makes a process lose responses and delays writes of it, which take effect after their calls have failed. */
    loseResponses(opts: { gateway: number; count: number; lateWriteMs: number | undefined; }): void {
        const { connection } = this.gateways[opts.gateway]!;
        connection.responsesToLose = opts.count;
        connection.lateWriteDelaysMs = opts.lateWriteMs === undefined ? [] : [opts.lateWriteMs];
    }

    loseLeaderResponses(count: number): void {
        this.runners.forEach(({ connection }) => {
            connection.responsesToLose = count;
        });
    }

    /** Kills a runner and starts it again with its disk. */
    restartRunner(index: number): void {
        const { connection } = this.runners[index]!;
        this.runners[index]!.clock.kill();
        this.runners[index] = this.startRunner(index);
        this.runners[index]!.connection.state = connection.state;
    }

    restartGateway(index: number): void {
        const { connection } = this.gateways[index]!;
        this.gateways[index]!.clock.kill();
        this.gateways[index]!.closing.abort();
        this.gateways[index] = this.startGateway();
        this.gateways[index]!.connection.state = connection.state;
    }

    /** Kills all processes at once and starts them again. */
    restartAll(): void {
        this.runners.forEach((_, index) => this.restartRunner(index));
        this.gateways.forEach((_, index) => this.restartGateway(index));
    }

    /** Index of the leader as the gateways know it. */
    get leader(): number {
        return Number((this.leaderName ?? "runner-0").split("-").at(-1));
    }

    close(): void {
        [...this.runners, ...this.gateways].forEach(({ clock }) => clock.kill());
        this.gateways.forEach(({ closing }) => closing.abort());
        this.closing.abort();
        this.timeOfDay.mock.restore();
        this.service.close();
    }

    private startRunner(index: number): SimulatedRunner {
        const upstreams = new SimulatedUpstreams(this.clock);
        mock.method(upstreams, "run", () => ({ abort: () => undefined }));
        const runner: SimulatedRunner = new SimulatedRunner({
            name: `runner-${index}`,
            clock: this.clock,
            service: this.service,
            random: this.random,
            upstreams,
            segments: this.disks[index]!,
            others: () => this.runners.filter(other => other !== runner && !other.clock.isDead),
            otherCount: RUNNERS - 1,
            resultRetentionMs: Infinity,
            onRunBegun: () => undefined,
        });
        const isReachableByPeer = () =>
            [...this.reported].some(([name, isReachable]) => name !== runner.name && isReachable);
        this.handlers.set(runner, runner.createHoldHandler(isReachableByPeer));
        runner.start();
        return runner;
    }

    private startGateway(): SimulatedGateway {
        const clock = new ProcessClock(this.clock);
        const connection = new SimulatedConnection({
            service: this.service,
            clock: this.clock,
            process: clock,
            random: this.random,
        });
        const common = { service: connection, clock, random: this.random, logger: silentLogger };
        const lease = new ProcessLease({ ...common, minLeaseMs: 0, onGranted: () => Promise.resolve() });
        const mirror = new PrefixMirror({
            ...common,
            prefix: fleetKeys.prefix,
            onSnapshot: () => undefined,
            onChange: () => undefined,
        });
        const closing = new AbortController();
        void lease.run(closing.signal);
        void mirror.run(closing.signal);
        const trust = new StoredCountTrust();
        const isReachable = () => lease.wasRenewedWithin(REACHABLE_MS) && Number.isFinite(mirror.reachableSinceMs);
        const updateTrust = () =>
            trust.update({
                nowMs: clock.nowMs(),
                isReachable: isReachable(),
                isLeaderReachable: this.leaderName === undefined ? undefined : this.reported.get(this.leaderName),
            });
        const acceptor = new JobAcceptor({
            ...common,
            holder: { hold: request => this.hold(request) },
            areHeldJobsWritten: () => true,
            isKnownToLeader: () => Promise.resolve(false),
            isTokenCountComplete: updateTrust,
        });
        return { clock, connection, acceptor, closing, isReachable, updateTrust };
    }

    /** Holds a job as `LinkJobHolder` does: at the leader, then one copy at another runner. */
    private async hold(request: HoldRequest): Promise<HoldOutcome> {
        const response = await this.ask(this.leader, request);
        const { approvedBy } = response;
        if (response.outcome !== "held" || approvedBy === undefined) {
            return response.outcome;
        }
        const others = this.runners.map((_, index) => index).filter(index => index !== this.leader);
        for (const other of others) {
            if ((await this.ask(other, { ...request, approvedBy })).outcome === "held") {
                return "held";
            }
        }
        return "unknown";
    }

    private ask(index: number, request: HoldRequest): Promise<HoldResponse> {
        const runner = this.runners[index]!;
        const timeout = new Promise<HoldResponse>(resolve => {
            this.clock.setTimer(HOLD_TIMEOUT_MS, () => resolve({ outcome: "unknown" }));
        });
        return Promise.race([this.respond(runner, request), timeout]);
    }

    /** Returns the response of a runner; never resolves if it dies before. */
    private async respond(runner: SimulatedRunner, request: HoldRequest): Promise<HoldResponse> {
        await runner.clock.whenRunning();
        const response = await this.handlers.get(runner)!.handle(request);
        await runner.clock.whenRunning();
        return response;
    }

    /** Exchanges the load reports of all processes. */
    private reportPeriodically(): void {
        this.gateways.forEach(gateway => gateway.updateTrust());
        this.reported = new Map([
            ...this.runners.map(({ name, isStoreReachable }) => [name, isStoreReachable] as const),
            ...this.gateways.map((gateway, index) => [`gateway-${index}`, gateway.isReachable()] as const),
        ]);
        this.runners.forEach(({ runner }) => runner.catchUp(this.jobsRevision));
        void this.service.get(fleetKeys.jobsLeader).then(entry => {
            this.leaderName = entry === undefined
                ? this.leaderName
                : decodeRecord<LeaderRecord>(entry.value).instanceName;
        }, () => undefined);
        if (!this.closing.signal.aborted) {
            this.clock.setTimer(REPORT_INTERVAL_MS, () => this.reportPeriodically());
        }
    }
}
