import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import assert from "node:assert/strict";
import { test } from "node:test";
import { oracle } from "../src/oracle.js";
import { pause } from "../src/pause.js";
import { SoakBalancer } from "../src/soakBalancer.js";
import { SoakCaller } from "../src/soakCaller.js";
import type { SoakGateway } from "../src/soakGateway.js";
import { SoakJobClient } from "../src/soakJobClient.js";
import { ANSWER_SERVICE, MODEL_SERVICE } from "../src/soakNames.js";
import { SoakRecord } from "../src/soakRecord.js";
import { SoakUpstream } from "../src/soakUpstream.js";
import { type Breakage, BrokenGateway } from "./brokenGateway.js";

const CALLERS_PORT = 8144;
const READINESS_PORT = 8140;
const BEFORE_CHANGES_MS = 500;
const AFTER_CHANGES_MS = 4500;
const CHECK_INTERVAL_MS = 500;
/** Far longer than a loaded machine needs. A wait that reaches it fails the test. */
const MAX_WAIT_MS = 120_000;
const FIRST_SUBNET = 221;
/** How long before the start of the test all faults ended. More than the recovery time that the oracle allows. */
const FAULTS_ENDED_BEFORE_MS = 20_000;

/** Callers, jobs and probes that run against a gateway with one breakage. */
class BrokenFleet {
    readonly record = new SoakRecord();
    private readonly breakage: Breakage;
    private readonly gateway: BrokenGateway;
    private readonly upstreams: SoakUpstream[];
    private readonly balancer: SoakBalancer;
    private readonly jobs: SoakJobClient;
    private readonly callersController = new AbortController();
    private readonly submissionController = new AbortController();
    private readonly address: SoakGateway;
    private readonly random = new SeededRandom(12_345);
    private readonly clock = new SystemClock();
    private running: Promise<void>[] = [];

    constructor(breakage: Breakage, subnet: number) {
        const { record, random } = this;
        const nowMs = () => this.clock.nowMs();
        this.breakage = breakage;
        this.upstreams = [MODEL_SERVICE, MODEL_SERVICE, ANSWER_SERVICE, ANSWER_SERVICE]
            .map((service, index) => new SoakUpstream(`u-${index}`, { service, zone: "a", record, random, nowMs }));
        this.gateway = new BrokenGateway({ breakage, upstreams: this.upstreams });
        this.address = {
            name: "g",
            host: `127.${subnet}.1.1`,
            callersPort: CALLERS_PORT,
            readinessPort: READINESS_PORT,
            startNumber: () => 1,
        };
        this.balancer = new SoakBalancer({ gateways: [this.address], random });
        const cancelledShare = breakage === "runs-cancelled-items" ? 1 : 0;
        this.jobs = new SoakJobClient({ record, random, nowMs, balancer: this.balancer, name: "j", cancelledShare });
    }

    async start(): Promise<void> {
        const { record, random, balancer, gateway, address } = this;
        const { host } = address;
        const nowMs = () => this.clock.nowMs();
        await Promise.all(this.upstreams.map(upstream => upstream.listen(host)));
        await gateway.listen(host, [CALLERS_PORT, READINESS_PORT]);
        ["fetch", "book", "only-1", "only-2"].forEach(name => record.servicesOfPrefix.set(`/${name}/`, ANSWER_SERVICE));
        ["stream", "stream-once", "job"].forEach(name => record.servicesOfPrefix.set(`/${name}/`, MODEL_SERVICE));
        record.versions.push({ version: 1, writtenAtMs: nowMs(), ackedAtMs: nowMs() });
        record.faultsEndedAtMs = nowMs() - FAULTS_ENDED_BEFORE_MS;
        const shared = { balancer, record, random, nowMs, newestVersion: () => gateway.version };
        const callers = Array.from({ length: 4 }, (_, index) => new SoakCaller({ ...shared, name: `c${index}` }));
        const { signal } = this.callersController;
        this.running = [
            ...callers.slice(1).map(caller => caller.run(signal)),
            callers[0]!.probe([address], signal),
            this.jobs.run(400, this.submissionController.signal),
        ];
    }

    /** Writes a new configuration and drains an upstream. */
    change(): void {
        const nowMs = this.clock.nowMs();
        this.gateway.version = 2;
        this.record.versions.push({ version: 2, writtenAtMs: nowMs, ackedAtMs: nowMs });
        this.gateway.drain(this.upstreams[0]!);
        this.record.drains.push({ upstreamId: this.upstreams[0]!.id, ackedAtMs: nowMs });
    }

    /** Stops the gateway as planned. */
    stopGateway(): void {
        const nowMs = this.clock.nowMs();
        this.record.faults.push({ kind: "stop", target: "g", fromMs: nowMs, toMs: nowMs, isPlanned: true });
        this.gateway.stop();
    }

    /** Submits no more jobs and resolves when each submitted one has ended, or after `MAX_WAIT_MS`. */
    async finishJobs(): Promise<void> {
        this.submissionController.abort();
        await this.waitUntil(() => this.record.jobs.every(job => job.results.length === job.items.length));
    }

    /** Resolves when the oracle finds that `promise` is broken, or after `MAX_WAIT_MS`. */
    async waitUntilBroken(promise: string): Promise<void> {
        await this.waitUntil(async () => {
            await this.jobs.readAllResults();
            if (this.breakage === "cuts-when-stopping") {
                this.stopGateway();
            }
            return this.brokenPromises().includes(promise);
        });
    }

    /** Returns the promises that the oracle finds broken so far, shape [promises]. */
    brokenPromises(): string[] {
        return [...new Set(oracle(this.record).map(violation => violation.promise))];
    }

    /** Ends all callers and closes all servers. */
    async close(): Promise<void> {
        this.submissionController.abort();
        this.callersController.abort();
        await Promise.all(this.running);
        this.jobs.stop();
        await this.jobs.readAllResults();
        this.record.endedAtMs = this.clock.nowMs();
        this.balancer.close();
        this.gateway.close();
        this.upstreams.forEach(upstream => upstream.close());
    }

    private async waitUntil(isDone: () => boolean | Promise<boolean>): Promise<void> {
        const endAtMs = this.clock.nowMs() + MAX_WAIT_MS;
        while (!await isDone() && this.clock.nowMs() < endAtMs) {
            await pause(CHECK_INTERVAL_MS);
        }
    }
}

async function startAndChange(breakage: Breakage, subnet: number): Promise<BrokenFleet> {
    const fleet = new BrokenFleet(breakage, subnet);
    await fleet.start();
    await pause(BEFORE_CHANGES_MS);
    fleet.change();
    return fleet;
}

const cases: { breakage: Breakage; promise: string; }[] = [
    { breakage: "swaps-answers", promise: "answer-belongs" },
    { breakage: "runs-twice", promise: "run-once" },
    { breakage: "lies-about-runs", promise: "not-run-is-true" },
    { breakage: "changes-bodies", promise: "unchanged" },
    { breakage: "drops-events", promise: "events-in-order" },
    { breakage: "mixes-services", promise: "right-service" },
    { breakage: "goes-back", promise: "configuration-never-back" },
    { breakage: "keeps-old-routes", promise: "configuration-in-force" },
    { breakage: "ignores-draining", promise: "drained" },
    { breakage: "cuts-when-stopping", promise: "stop-cuts-nothing" },
    { breakage: "forgets-jobs", promise: "job-kept" },
    { breakage: "cuts-texts", promise: "item-text-whole" },
    { breakage: "gives-items-up", promise: "given-up-only-when-allowed" },
    { breakage: "moves-results", promise: "positions-stay" },
    { breakage: "runs-cancelled-items", promise: "cancelled-stays" },
    { breakage: "runs-refused-jobs", promise: "refused-job-never-runs" },
    { breakage: "serves-nobody", promise: "recovers" },
];

test("the oracle finds nothing where nothing is broken", async () => {
    const fleet = await startAndChange("nothing", FIRST_SUBNET - 1);
    fleet.stopGateway();
    await pause(AFTER_CHANGES_MS);
    await fleet.finishJobs();
    await fleet.close();
    assert.deepEqual(fleet.brokenPromises(), []);
});

test("the oracle finds each promise that is broken on purpose", async () => {
    const found = await Promise.all(cases.map(async ({ breakage, promise }, index) => {
        const fleet = await startAndChange(breakage, FIRST_SUBNET + index);
        await fleet.waitUntilBroken(promise);
        await fleet.close();
        return { breakage, isFound: fleet.brokenPromises().includes(promise) };
    }));
    assert.deepEqual(found.filter(entry => !entry.isFound), []);
});
