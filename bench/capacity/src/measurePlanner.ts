import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import type { ObservedUpstream } from "@knapweedwood/placement.planner/observedUpstream";
import { planRegion } from "@knapweedwood/placement.planner/planRegion";
import type { UpstreamPlan } from "@knapweedwood/placement.planner/upstreamPlan";
import { CpuMeter } from "./cpuMeter.js";
import { createMeasurement } from "./createMeasurement.js";
import type { Measurement } from "./measurement.js";

const MODEL_COUNT = 30;
const ROUND_COUNT = 10;
const ZONES = ["a", "b", "c", "d"];
const CONDITIONS =
    `one process, ${MODEL_COUNT} services of one model, four zones, plans made anew ${ROUND_COUNT} times`;

/** Measures the cost of planning a region by the number of its upstreams. */
export function measurePlanner(opts: { sizes: number[]; }): Measurement[] {
    const points = opts.sizes.map(measurePoint);
    const common = { sizeUnit: "upstreams of a region", conditions: CONDITIONS };
    return [
        createMeasurement({
            ...common,
            name: "planner.cpu",
            unit: "ms a plan",
            points: points.map(point => ({ size: point.upstreams, value: point.cpuMs })),
        }),
        createMeasurement({
            ...common,
            name: "planner.size",
            unit: "B a plan",
            points: points.map(point => ({ size: point.upstreams, value: point.sizeBytes })),
        }),
    ];
}

function measurePoint(upstreams: number): { upstreams: number; cpuMs: number; sizeBytes: number; } {
    const services = Array.from({ length: MODEL_COUNT }, (_, n) => serviceOf(n, Math.floor(upstreams / MODEL_COUNT)));
    const observations = Array.from({ length: upstreams }, (_, n) => observationOf(n));
    let previous: UpstreamPlan[] = [];
    const cpu = new CpuMeter();
    for (let round = 0; round < ROUND_COUNT; round += 1) {
        previous = planRegion({
            services,
            upstreams: observations,
            previous,
            demands: [],
            maxConcurrentLoads: 8,
            nowMs: round,
        });
    }
    return { upstreams, cpuMs: cpu.readMs() / ROUND_COUNT, sizeBytes: Buffer.byteLength(JSON.stringify(previous)) };
}

function serviceOf(n: number, replicas: number): ServiceDefinition {
    const models = [{ name: `model-${n}`, version: "1", adapters: [{ name: `adapter-${n}`, version: "1" }] }];
    return {
        name: `service-${n}`,
        kind: "model-engine",
        roles: ["any"],
        replicas,
        models,
    } as unknown as ServiceDefinition;
}

function observationOf(n: number): ObservedUpstream {
    const model = `model-${n % MODEL_COUNT}`;
    return {
        instanceId: `upstream-${n}`,
        zone: ZONES[n % ZONES.length],
        service: `service-${n % MODEL_COUNT}`,
        state: "live",
        engine: { models: [{ model, version: "1", state: "ready" }], adapters: [], role: "any", incarnation: 1 },
    } as unknown as ObservedUpstream;
}
