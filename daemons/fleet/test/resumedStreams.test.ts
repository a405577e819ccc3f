// All gateways were killed at once, and nobody knew where the streams had begun that callers resumed. A gateway that had
// started during a release took the version that it saw for theirs: callers got texts joined of two versions.
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SnapshotKeyValueService } from "@knapweedwood/core.key-value/snapshotKeyValueService";
import type { WatchBatch } from "@knapweedwood/core.key-value/watchBatch";
import { StreamContinuity } from "@knapweedwood/fleet.gateway/streamContinuity";
import { ActiveConfiguration } from "@knapweedwood/fleet.view/activeConfiguration";
import { PlatformCallerProtocol } from "@knapweedwood/platform.adapter/platformCallerProtocol";
import { wireKeys } from "@knapweedwood/platform.adapter/wireKeys";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { UpstreamFollower } from "../src/upstreamFollower.js";
import { VersionConfirmation } from "../src/versionConfirmation.js";
import { createFollowerContext } from "./createFollowerContext.js";
import { createUpstreamFollower } from "./createUpstreamFollower.js";

const TIMEOUT_MS = 5000;
const service = "s" as ServiceName;
/** Age of the oldest streams that callers still resume, in milliseconds: several tries of one timeout each. */
const OLDEST_STREAM_MS = 25_000;

/** A fleet whose upstreams register and leave at a key-value service. */
class ReleasingFleet {
    readonly clock = new ManualClock(1_000_000);
    readonly keyValueService = new MemoryKeyValueService({ clock: this.clock });
    /** Whether the configuration turns out to be current when it is read again. */
    isConfigurationConfirmed = true;
    private readonly configuration = new ActiveConfiguration();
    private readonly confirmations = new Map<UpstreamFollower, VersionConfirmation>();
    private readonly controller = new AbortController();

    constructor() {
        this.configure(1, service);
    }

    /** Lets the route lead to a service. */
    configure(version: number, name: ServiceName): void {
        const route = { host: "h", prefix: "/", services: [{ service: name, weight: 1 }], timeoutMs: TIMEOUT_MS };
        this.configuration.adopt({ version, routes: [route], services: [] } as never, this.clock.nowMs());
    }

    async register(id: string, softwareVersion: string): Promise<void> {
        const value = Buffer.from(JSON.stringify({
            address: "h:1",
            service,
            zone: "z",
            version: softwareVersion,
            slots: 8,
            state: "ready",
            born: this.clock.nowMs(),
        }));
        await this.keyValueService.transact([], [{ kind: "put", key: `${wireKeys.upstreams}${id}`, value }]);
    }

    async remove(id: string): Promise<void> {
        await this.keyValueService.transact([], [{ kind: "delete", key: `${wireKeys.upstreams}${id}` }]);
    }

    startProcess(service: SnapshotKeyValueService = this.keyValueService): UpstreamFollower {
        const follower = createUpstreamFollower(createFollowerContext(this.clock, service));
        void follower.mirror.run(this.controller.signal);
        const confirmation = new VersionConfirmation({
            clock: this.clock,
            upstreams: follower,
            refreshConfiguration: () => Promise.resolve(this.isConfigurationConfirmed),
        });
        this.confirmations.set(follower, confirmation);
        return follower;
    }

    /** Returns the version at which a gateway lets a stream of unknown origin go on; undefined if it rejects it. */
    async resumeAt(gateway: UpstreamFollower): Promise<string | undefined> {
        const continuity = new StreamContinuity({
            context: {
                clock: this.clock,
                configuration: this.configuration,
                headers: new PlatformCallerProtocol().headers,
                origins: { record: () => undefined, lookUp: () => Promise.resolve(undefined) },
                soleVersion: (name, sinceMs) => this.confirmations.get(gateway)!.soleVersion(name, sinceMs),
            },
            route: this.configuration.current!.routes[0]!,
            request: { headers: { "last-event-id": "3" } } as never,
            requestId: "r" as never,
        });
        await continuity.decideResumption();
        return continuity.softwareVersion;
    }

    stop(): void {
        this.controller.abort();
    }
}

test("a gateway that started after a release doesn't take its version for that of older streams", async () => {
    const fleet = new ReleasingFleet();
    await fleet.register("a", "v1");
    // Streams begin at v1 here, and all gateways are killed.
    await fleet.remove("a");
    await fleet.register("b", "v2");
    const gateway = fleet.startProcess();
    const beganAtMs = fleet.clock.nowMs();
    while (fleet.clock.nowMs() < beganAtMs + OLDEST_STREAM_MS) {
        assert.equal(await fleet.resumeAt(gateway), undefined, `after ${fleet.clock.nowMs() - beganAtMs} ms`);
        await fleet.clock.advance(500);
    }
    await fleet.clock.advance(OLDEST_STREAM_MS);
    assert.equal(await fleet.resumeAt(gateway), "v2", "no stream is as old as the release any more");
    fleet.stop();
});

test("a version that came and left while a gateway missed changes isn't ruled out", async () => {
    const fleet = new ReleasingFleet();
    await fleet.register("a", "v1");
    const gateway = fleet.startProcess();
    await fleet.clock.advance(100_000);
    assert.equal(await fleet.resumeAt(gateway), "v1");
    // The gateway lists the upstreams again after a failed call, and doesn't learn what has come and gone since.
    const { faults } = fleet.keyValueService;
    faults.outage = true;
    await fleet.clock.advance(10);
    faults.outage = false;
    await fleet.register("b", "v2");
    await fleet.remove("b");
    await fleet.clock.advance(OLDEST_STREAM_MS);
    assert.equal(await fleet.resumeAt(gateway), undefined);
    fleet.stop();
});

test("a route that leads to another service may have streams of the one before", async () => {
    const fleet = new ReleasingFleet();
    await fleet.register("a", "v1");
    const gateway = fleet.startProcess();
    fleet.configure(2, "before" as ServiceName);
    await fleet.clock.advance(60_000);
    fleet.configure(3, service);
    await fleet.clock.advance(OLDEST_STREAM_MS);
    assert.equal(await fleet.resumeAt(gateway), undefined);
    fleet.configure(4, service);
    await fleet.clock.advance(OLDEST_STREAM_MS);
    assert.equal(await fleet.resumeAt(gateway), "v1");
    fleet.stop();
});

/** The key-value service as a process sees it that gets no changes for a while, or no responses at all. */
class OutOfStepService {
    getsChanges = true;
    getsResponses = true;
    private readonly clock: ManualClock;
    private readonly service: MemoryKeyValueService;

    constructor(fleet: ReleasingFleet) {
        this.clock = fleet.clock;
        this.service = fleet.keyValueService;
    }

    forProcess(): SnapshotKeyValueService {
        const { service } = this;
        return {
            get: key => this.respond(() => service.get(key)),
            list: (prefix, opts) => this.respond(() => service.list(prefix, opts)),
            snapshot: prefix => this.respond(() => service.snapshot(prefix)),
            changes: (prefix, opts) => this.respond(() => service.changes(prefix, opts)),
            transact: (...parameters) => this.respond(() => service.transact(...parameters)),
            grantLease: ttlMs => service.grantLease(ttlMs),
            keepLeaseAlive: leaseId => service.keepLeaseAlive(leaseId),
            revokeLease: leaseId => service.revokeLease(leaseId),
            watch: (prefix, opts) => this.watch(prefix, opts),
        };
    }

    private async respond<Value>(call: () => Promise<Value>): Promise<Value> {
        while (!this.getsResponses) {
            await sleep(this.clock, 10);
        }
        return call();
    }

    private async *watch(...parameters: Parameters<SnapshotKeyValueService["watch"]>): AsyncIterable<WatchBatch> {
        for await (const batch of this.service.watch(...parameters)) {
            while (!this.getsChanges) {
                await sleep(this.clock, 10);
            }
            yield batch;
        }
    }
}

// A gateway stood still while upstreams of another version joined. Streams that had begun there through other gateways went on
// here at the version that it still took for the only one.
test("a gateway that lacks the last changes of the upstreams doesn't take its only version for that of a stream", async () => {
    const fleet = new ReleasingFleet();
    await fleet.register("a", "v1");
    const outOfStep = new OutOfStepService(fleet);
    const gateway = fleet.startProcess(outOfStep.forProcess());
    await fleet.clock.advance(60_000);
    assert.equal(await fleet.resumeAt(gateway), "v1");
    outOfStep.getsChanges = false;
    await fleet.register("b", "v2");
    assert.equal(await fleet.resumeAt(gateway), undefined, "the stream may have begun at b");
    outOfStep.getsChanges = true;
    await fleet.clock.advance(100);
    assert.equal(await fleet.resumeAt(gateway), undefined, "two versions");
    fleet.stop();
});

test("a gateway that is cut off from the key-value service doesn't let a stream of unknown origin go on", async () => {
    const fleet = new ReleasingFleet();
    await fleet.register("a", "v1");
    const outOfStep = new OutOfStepService(fleet);
    const gateway = fleet.startProcess(outOfStep.forProcess());
    await fleet.clock.advance(60_000);
    outOfStep.getsChanges = false;
    outOfStep.getsResponses = false;
    await fleet.register("b", "v2");
    const resumed = fleet.resumeAt(gateway);
    await fleet.clock.advance(1000);
    assert.equal(await resumed, undefined);
    fleet.stop();
});

test("a gateway that lacks a change of the configuration doesn't let a stream of unknown origin go on", async () => {
    const fleet = new ReleasingFleet();
    await fleet.register("a", "v1");
    const gateway = fleet.startProcess();
    await fleet.clock.advance(60_000);
    fleet.isConfigurationConfirmed = false;
    assert.equal(await fleet.resumeAt(gateway), undefined);
    fleet.stop();
});

/** Lets `asking` learn from `runner` in `delayMs` what this has seen, as over a link. */
async function askRunner(fleet: ReleasingFleet, asking: UpstreamFollower, runner: UpstreamFollower, delayMs = 20) {
    const askedAtMs = fleet.clock.nowMs();
    const record = runner.versionRecord();
    await fleet.clock.advance(delayMs);
    if (record !== undefined) {
        asking.adoptVersionRecord(record, askedAtMs);
    }
}

test("a gateway that has just started lets streams go on where a runner has only ever seen one version", async () => {
    const fleet = new ReleasingFleet();
    await fleet.register("a", "v1");
    await fleet.register("b", "v1");
    const runner = fleet.startProcess();
    await fleet.clock.advance(60_000);
    fleet.keyValueService.faults.responseDelayMs = 10;
    const gateway = fleet.startProcess();
    await askRunner(fleet, gateway, runner);
    fleet.keyValueService.faults.responseDelayMs = 0;
    assert.equal(
        await fleet.resumeAt(gateway),
        undefined,
        "the runner was asked before the gateway had listed the upstreams",
    );
    await askRunner(fleet, gateway, runner);
    assert.equal(await fleet.resumeAt(gateway), "v1");
    const second = fleet.startProcess();
    await fleet.clock.advance(100);
    await askRunner(fleet, second, gateway);
    assert.equal(await fleet.resumeAt(second), "v1", "a record is passed on");
    fleet.stop();
});

test("a gateway that has just started rejects streams while a version that a runner has seen may have begun them", async () => {
    const fleet = new ReleasingFleet();
    await fleet.register("a", "v1");
    const runner = fleet.startProcess();
    await fleet.clock.advance(60_000);
    await fleet.register("b", "v2");
    await fleet.clock.advance(1000);
    await fleet.remove("a");
    await fleet.clock.advance(1000);
    const gateway = fleet.startProcess();
    const removedAtMs = fleet.clock.nowMs() - 1000;
    await fleet.clock.advance(100);
    await askRunner(fleet, gateway, runner);
    while (fleet.clock.nowMs() < removedAtMs + OLDEST_STREAM_MS) {
        assert.equal(await fleet.resumeAt(gateway), undefined);
        await fleet.clock.advance(500);
    }
    await fleet.clock.advance(5500);
    assert.equal(await fleet.resumeAt(gateway), "v2");
    fleet.stop();
});
