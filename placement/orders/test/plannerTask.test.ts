import type { ConfigurationSource } from "@knapweedwood/config.configuration/configurationSource";
import type { ServiceDefinition } from "@knapweedwood/config.configuration/serviceDefinition";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { WebSocketLinkEndpoint } from "@knapweedwood/links.endpoint/webSocketLinkEndpoint";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { silentMetrics } from "@knapweedwood/observability.metrics/silentMetrics";
import { PlannerTask } from "@knapweedwood/placement.planner/plannerTask";
import { LoadedModels } from "@knapweedwood/standins.engine/loadedModels";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ReconcilerTask } from "../src/reconcilerTask.js";

const clock = new SystemClock();
const ENGINES = 3;
const MAX_CHECKS = 400;

function createEndpoint(name: string, kind: "entry" | "side"): WebSocketLinkEndpoint {
    return new WebSocketLinkEndpoint({
        identity: { instanceId: name, incarnation: 1, kind, zone: "a", region: "tt-north" } as never,
        clock,
        host: "127.0.0.1",
        port: 0,
        logger: silentLogger,
        metrics: silentMetrics,
    });
}

function serviceOf(version: string): ServiceDefinition {
    const models = [{ name: "demo", version, adapters: [] }];
    return { name: "notes", kind: "model-engine", models, roles: ["any"], replicas: 2 } as unknown as ServiceDefinition;
}

async function waitUntil(isDone: () => boolean): Promise<void> {
    for (let check = 0; check < MAX_CHECKS && !isDone(); check += 1) {
        await sleep(clock, 25);
    }
    assert.ok(isDone());
}

test("a planner and its sides load the configured version, then a new one, over real links", async context => {
    let services = [serviceOf("1")];
    const configuration = { current: () => ({ services: () => services }) } as unknown as ConfigurationSource;
    const engines = Array.from(
        { length: ENGINES },
        () => new LoadedModels({ clock, seed: 1, models: [], checksFencing: true, loadDurationMs: 10 }),
    );
    const endpoints = engines.map((_, n) => createEndpoint(`side-${n}`, "side"));
    const addresses = await Promise.all(endpoints.map(endpoint => endpoint.listen()));
    const tasks = engines.map((loadedModels, n) => {
        const engine = {
            state: () => Promise.resolve(structuredClone(loadedModels.state())),
            order: (order: Parameters<LoadedModels["accept"]>[0]) =>
                loadedModels.accept(order) ? Promise.resolve() : Promise.reject(new Error("stale")),
        };
        return new ReconcilerTask({ engine, clock, endpoint: endpoints[n] as WebSocketLinkEndpoint });
    });
    const records = addresses.map((address, n) => ({
        ...(endpoints[n] as WebSocketLinkEndpoint).identity,
        address,
        state: "live" as const,
        service: "notes" as never,
        hasDataFolder: false,
    }));
    const entry = createEndpoint("entry-0", "entry");
    const keyValue = new MemoryKeyValueService({ clock });
    const planner = new PlannerTask({
        keyValue,
        clock,
        configuration,
        instances: () => records,
        demands: () => [],
        endpoint: entry,
        logger: silentLogger,
        maxConcurrentLoads: 1,
    });
    tasks.forEach(task => task.start());
    planner.start();
    context.after(async () => {
        await planner.stop();
        await Promise.all(tasks.map(task => task.stop()));
        await Promise.all([entry, ...endpoints].map(endpoint => endpoint.close(0)));
        keyValue.close();
    });
    const enginesWithReady = (version: string) =>
        engines.filter(engine =>
            engine.state().models.some(loaded => loaded.version === version && loaded.state === "ready")
        );
    await waitUntil(() => enginesWithReady("1").length === 2);
    services = [serviceOf("2")];
    await waitUntil(() => enginesWithReady("2").length === 2 && enginesWithReady("1").length === 0);
});
