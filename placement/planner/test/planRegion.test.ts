import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { EngineState } from "@knapweedwood/engines.model-engine/engineState";
import assert from "node:assert/strict";
import { test } from "node:test";
import { planRegion } from "../src/planRegion.js";
import type { RoleDemand } from "../src/roleDemand.js";
import type { UpstreamObservation } from "../src/upstreamObservation.js";
import type { UpstreamPlan } from "../src/upstreamPlan.js";

const SERVICE = {
    name: "notes",
    kind: "model-engine",
    models: [{ name: "demo", version: "1", adapters: [] }],
    roles: ["any"],
    replicas: 6,
} as unknown as ServiceDefinition;

/** A region whose engines do at once what the plan says, but for loads, which take a tick and may fail. */
class Region {
    service = SERVICE;
    demands: RoleDemand[] = [];
    maxConcurrentLoads = 2;
    badVersion: string | undefined;
    nowMs = 0;
    plans: UpstreamPlan[] = [];
    upstreams: UpstreamObservation[];

    constructor(count: number) {
        this.upstreams = Array.from({ length: count }, (_, n) => ({
            instanceId: `u${n}` as InstanceId,
            zone: ["a", "b", "c"][n % 3] as never,
            service: SERVICE.name,
            state: "live",
            engine: { models: [], adapters: [], role: "any", incarnation: 1 },
        }));
    }

    tick(): void {
        this.nowMs += 10_000;
        this.upstreams.forEach(({ engine }) =>
            engine?.models.filter(held => held.state === "loading").forEach(held => {
                held.state = held.version === this.badVersion ? "failed" : "ready";
            })
        );
        this.plans = planRegion({
            services: [this.service],
            upstreams: this.upstreams,
            previous: this.plans,
            demands: this.demands,
            maxConcurrentLoads: this.maxConcurrentLoads,
            nowMs: this.nowMs,
        });
        this.plans.forEach(plan => this.carryOut(plan));
    }

    run(ticks: number, check: () => void = () => undefined): void {
        Array.from({ length: ticks }).forEach(() => {
            this.tick();
            check();
        });
    }

    holding(version: string, state?: string): UpstreamObservation[] {
        return this.upstreams.filter(({ engine }) =>
            engine?.models.some(held => held.version === version && (state === undefined || held.state === state))
        );
    }

    private carryOut(plan: UpstreamPlan): void {
        const engine = this.upstreams.find(upstream => upstream.instanceId === plan.instanceId)?.engine as EngineState;
        const kept = engine.models.filter(held => plan.models.some(wanted => wanted.version === held.version));
        const missing = plan.models.filter(wanted => !kept.some(held => held.version === wanted.version));
        engine.models = [...kept, ...missing.map(wanted => ({ ...wanted, state: "loading" as const }))];
        engine.role = plan.role;
    }
}

function withVersion(version: string): ServiceDefinition {
    return { ...SERVICE, models: [{ ...SERVICE.models[0], version }] } as unknown as ServiceDefinition;
}

test("replicas are spread over zones, and loads are paced", () => {
    const region = new Region(12);
    region.run(20, () => assert.ok(region.holding("1", "loading").length <= 2));
    const zones = region.holding("1", "ready").map(upstream => upstream.zone as string);
    assert.deepEqual(zones.sort(), ["a", "a", "b", "b", "c", "c"]);
});

test("a new version replaces the old one without a replica less", () => {
    const region = new Region(9);
    region.run(20);
    region.service = withVersion("2");
    region.run(30, () => {
        const serving = new Set([...region.holding("1", "ready"), ...region.holding("2", "ready")]);
        assert.ok(serving.size >= 6);
        assert.ok(region.holding("2", "loading").length <= 2);
    });
    assert.deepEqual([region.holding("2", "ready").length, region.holding("1").length], [6, 0]);
});

test("a version that never becomes ready is loaded by one upstream only, and the old one stays", () => {
    const region = new Region(9);
    region.run(20);
    region.service = withVersion("2");
    region.badVersion = "2";
    region.run(30, () => assert.ok(region.holding("2").length <= 1));
    assert.equal(region.holding("1", "ready").length, 6);
    region.service = withVersion("1");
    region.run(5);
    assert.equal(region.holding("2").length, 0);
});

test("an engine that restarts empty is brought back, and the loss of a zone is made good elsewhere", () => {
    const region = new Region(12);
    region.run(20);
    const [first] = region.holding("1");
    Object.assign(first?.engine ?? {}, { models: [], incarnation: 2 });
    region.run(3);
    assert.equal(region.holding("1", "ready").length, 6);
    region.upstreams = region.upstreams.filter(upstream => upstream.zone !== "a" as never);
    region.run(10);
    assert.deepEqual(region.holding("1", "ready").map(upstream => upstream.zone as string).sort(), [
        "b",
        "b",
        "b",
        "c",
        "c",
        "c",
    ]);
});

test("an upstream that does not answer keeps its plan", () => {
    const region = new Region(9);
    region.run(20);
    const [silent] = region.holding("1");
    const before = region.plans.find(plan => plan.instanceId === silent?.instanceId);
    const engine = silent?.engine;
    Object.assign(silent ?? {}, { engine: undefined });
    region.plans = planRegion({
        services: [region.service],
        upstreams: region.upstreams,
        previous: region.plans,
        demands: [],
        maxConcurrentLoads: 2,
        nowMs: 0,
    });
    assert.deepEqual(region.plans.find(plan => plan.instanceId === silent?.instanceId), before);
    Object.assign(silent ?? {}, { engine });
    region.run(10);
    assert.equal(region.holding("1", "ready").length, 6);
});

test("roles follow demand one at a time, and do not flap on small changes", () => {
    const region = new Region(6);
    region.service = { ...SERVICE, roles: ["prefill", "decode"] };
    region.run(20);
    const prefill = () => region.plans.filter(plan => plan.role === "prefill").length;
    assert.equal(prefill(), 3);
    const demand = (share: number) => [{ service: SERVICE.name, prefill: share, decode: 1 - share }];
    region.demands = demand(0.85);
    region.run(30);
    const settled = prefill();
    assert.ok(settled === 5 || settled === 4);
    region.run(30, () => {
        region.demands = demand(region.nowMs % 20_000 === 0 ? 0.8 : 0.7);
        assert.equal(prefill(), settled);
    });
});
