import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { EngineState } from "@knapweedwood/engines.model-engine/engineState";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ObservedUpstream } from "../src/observedUpstream.js";
import { planRegion } from "../src/planRegion.js";
import type { RoleDemand } from "../src/roleDemand.js";
import type { UpstreamPlan } from "../src/upstreamPlan.js";

const SERVICE = {
    name: "notes",
    kind: "model-engine",
    models: [{ name: "demo", version: "1", adapters: [] }],
    roles: ["any"],
    replicas: 6,
} as unknown as ServiceDefinition;

/** A simulated region. Engines apply the plan immediately, except that a load takes one tick and may fail. */
class Region {
    service = SERVICE;
    demands: RoleDemand[] = [];
    maxConcurrentLoads = 2;
    badVersion: string | undefined;
    nowMs = 0;
    plans: UpstreamPlan[] = [];
    upstreams: ObservedUpstream[];

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
            engine?.models.filter(loaded => loaded.state === "loading").forEach(loaded => {
                loaded.state = loaded.version === this.badVersion ? "failed" : "ready";
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
        this.plans.forEach(plan => this.apply(plan));
    }

    run(ticks: number, check: () => void = () => undefined): void {
        Array.from({ length: ticks }).forEach(() => {
            this.tick();
            check();
        });
    }

    upstreamsWith(version: string, state?: string): ObservedUpstream[] {
        return this.upstreams.filter(({ engine }) =>
            engine?.models.some(loaded => loaded.version === version && (state === undefined || loaded.state === state))
        );
    }

    private apply(plan: UpstreamPlan): void {
        const engine = this.upstreams.find(upstream => upstream.instanceId === plan.instanceId)?.engine as EngineState;
        const kept = engine.models.filter(loaded => plan.models.some(desired => desired.version === loaded.version));
        const missing = plan.models.filter(desired => !kept.some(loaded => loaded.version === desired.version));
        engine.models = [...kept, ...missing.map(desired => ({ ...desired, state: "loading" as const }))];
        engine.role = plan.role;
    }
}

function withVersion(version: string): ServiceDefinition {
    return { ...SERVICE, models: [{ ...SERVICE.models[0], version }] } as unknown as ServiceDefinition;
}

test("replicas are spread over zones, and concurrent loads are limited", () => {
    const region = new Region(12);
    region.run(20, () => assert.ok(region.upstreamsWith("1", "loading").length <= 2));
    const zones = region.upstreamsWith("1", "ready").map(upstream => upstream.zone as string);
    assert.deepEqual(zones.sort(), ["a", "a", "b", "b", "c", "c"]);
});

test("a new version replaces the old one without reducing the number of ready replicas", () => {
    const region = new Region(9);
    region.run(20);
    region.service = withVersion("2");
    region.run(30, () => {
        const ready = new Set([...region.upstreamsWith("1", "ready"), ...region.upstreamsWith("2", "ready")]);
        assert.ok(ready.size >= 6);
        assert.ok(region.upstreamsWith("2", "loading").length <= 2);
    });
    assert.deepEqual([region.upstreamsWith("2", "ready").length, region.upstreamsWith("1").length], [6, 0]);
});

test("a version that never becomes ready is loaded by one upstream only, and the old one stays", () => {
    const region = new Region(9);
    region.run(20);
    region.service = withVersion("2");
    region.badVersion = "2";
    region.run(30, () => assert.ok(region.upstreamsWith("2").length <= 1));
    assert.equal(region.upstreamsWith("1", "ready").length, 6);
    region.service = withVersion("1");
    region.run(5);
    assert.equal(region.upstreamsWith("2").length, 0);
});

test("an engine that restarts empty is loaded again, and replicas of a lost zone are replaced elsewhere", () => {
    const region = new Region(12);
    region.run(20);
    const [first] = region.upstreamsWith("1");
    Object.assign(first?.engine ?? {}, { models: [], incarnation: 2 });
    region.run(3);
    assert.equal(region.upstreamsWith("1", "ready").length, 6);
    region.upstreams = region.upstreams.filter(upstream => upstream.zone !== "a" as never);
    region.run(10);
    assert.deepEqual(region.upstreamsWith("1", "ready").map(upstream => upstream.zone as string).sort(), [
        "b",
        "b",
        "b",
        "c",
        "c",
        "c",
    ]);
});

test("an upstream that does not respond keeps its plan", () => {
    const region = new Region(9);
    region.run(20);
    const [unresponsive] = region.upstreamsWith("1");
    const before = region.plans.find(plan => plan.instanceId === unresponsive?.instanceId);
    const engine = unresponsive?.engine;
    Object.assign(unresponsive ?? {}, { engine: undefined });
    region.plans = planRegion({
        services: [region.service],
        upstreams: region.upstreams,
        previous: region.plans,
        demands: [],
        maxConcurrentLoads: 2,
        nowMs: 0,
    });
    assert.deepEqual(region.plans.find(plan => plan.instanceId === unresponsive?.instanceId), before);
    Object.assign(unresponsive ?? {}, { engine });
    region.run(10);
    assert.equal(region.upstreamsWith("1", "ready").length, 6);
});

test("roles follow demand one change at a time, and do not flap on small changes", () => {
    const region = new Region(6);
    region.service = { ...SERVICE, roles: ["prefill", "decode"] };
    region.run(20);
    const prefill = () => region.plans.filter(plan => plan.role === "prefill").length;
    assert.equal(prefill(), 3);
    const demand = (share: number) => [{ service: SERVICE.name, prefill: share, decode: 1 - share }];
    region.demands = demand(0.85);
    region.run(30);
    const settledCount = prefill();
    assert.ok(settledCount === 5 || settledCount === 4);
    region.run(30, () => {
        region.demands = demand(region.nowMs % 20_000 === 0 ? 0.8 : 0.7);
        assert.equal(prefill(), settledCount);
    });
});
