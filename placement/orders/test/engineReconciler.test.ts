import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { FencingNumber } from "@knapweedwood/core.ids/fencingNumber";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import type { ModelName } from "@knapweedwood/core.ids/modelName";
import type { ModelVersion } from "@knapweedwood/core.ids/modelVersion";
import type { EngineOrder } from "@knapweedwood/engines.model-engine/engineOrder";
import { LoadedModels } from "@knapweedwood/standins.engine/loadedModels";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EngineReconciler } from "../src/engineReconciler.js";
import type { ReceivedPlan } from "../src/receivedPlan.js";
import { reconcilerChart } from "../src/reconcilerChart.js";

const model = "demo" as ModelName;

function plan(fencingNumber: number, planNumber: number, version: string): ReceivedPlan {
    return {
        fencingNumber: fencingNumber as FencingNumber,
        planNumber,
        upstream: {
            instanceId: "u" as InstanceId,
            models: [{ model, version: version as ModelVersion }],
            adapters: [],
            role: "any",
            roleSinceMs: 0,
        },
    };
}

class TestEngine {
    readonly clock = new ManualClock();
    readonly accepted: EngineOrder[] = [];
    readonly loadedModels: LoadedModels;

    constructor(opts: { checksFencing: boolean; }) {
        this.loadedModels = new LoadedModels({
            clock: this.clock,
            seed: 1,
            models: [],
            checksFencing: opts.checksFencing,
            loadDurationMs: 0,
        });
    }

    state() {
        return Promise.resolve(structuredClone(this.loadedModels.state()));
    }

    order(order: EngineOrder): Promise<void> {
        if (!this.loadedModels.accept(order)) {
            return Promise.reject(
                new KnapweedError("ENGINE_ORDER_STALE", "The order has an older fencing number", {
                    outcome: "not-run",
                }),
            );
        }
        this.accepted.push(order);
        return Promise.resolve();
    }

    versions(): string[] {
        return this.loadedModels.state().models.map(loaded => loaded.version as string).sort();
    }
}

async function reconcile(engine: TestEngine, reconciler: EngineReconciler): Promise<void> {
    for (let round = 0; round < 5; round += 1) {
        reconciler.recheck();
        await reconciler.run();
        await engine.clock.advance(1);
    }
}

/** Returns every interleaving of the actors' events that keeps the order of each actor. */
function interleavings(actors: string[][]): string[][] {
    if (actors.every(events => events.length === 0)) {
        return [[]];
    }
    return actors.flatMap((events, index) =>
        events.length === 0
            ? []
            : interleavings(actors.map((other, n) => n === index ? other.slice(1) : other))
                .map(rest => [events[0] as string, ...rest])
    );
}

const ACTORS = [
    ["first-plans", "first-repeats", "first-plans-again"],
    ["second-plans", "second-repeats"],
    ["step", "step", "step"],
    ["old-side-step"],
];

[true, false].forEach(checksFencing => {
    const kind = checksFencing ? "checks" : "does not check";
    test(`two planners and a paused side, in any order, end with the later plan (engine ${kind} fencing)`, async () => {
        const orders = interleavings(ACTORS);
        assert.equal(orders.length, 5_040);
        for (const events of orders) {
            await runEvents(events, checksFencing);
        }
    });
});

async function runEvents(events: string[], checksFencing: boolean): Promise<void> {
    const engine = new TestEngine({ checksFencing });
    const create = () => new EngineReconciler({ engine, clock: engine.clock });
    const reconciler = create();
    // The reconciler of a side process that was paused before it sent its order, while a new process replaced it.
    const pausedReconciler = create();
    pausedReconciler.receive(plan(1, 1, "old"), 0);
    await pausedReconciler.step();
    await pausedReconciler.step();
    let hasSecondArrived = false;
    for (const event of events) {
        const before = engine.accepted.length;
        switch (event) {
            case "first-plans":
            case "first-repeats":
                reconciler.receive(plan(1, 1, "old"), 0);
                break;
            case "first-plans-again":
                reconciler.receive(plan(1, 2, "older"), 0);
                break;
            case "second-plans":
            case "second-repeats":
                hasSecondArrived = true;
                reconciler.receive(plan(2, 1, "new"), 0);
                break;
            case "step":
                await reconciler.step();
                break;
            case "old-side-step":
                await pausedReconciler.step();
                break;
        }
        if (event === "step" && hasSecondArrived) {
            engine.accepted.slice(before).forEach(order => assert.equal(order.fencingNumber, 2, events.join(" ")));
        }
    }
    await reconcile(engine, reconciler);
    assert.deepEqual(engine.versions(), ["new"], events.join(" "));
    if (checksFencing) {
        const numbers = engine.accepted.map(order => order.fencingNumber as number);
        assert.deepEqual(numbers, [...numbers].sort((left, right) => left - right), events.join(" "));
    }
}

test("no order is sent after the plan's validity has expired without a confirmation", async () => {
    const engine = new TestEngine({ checksFencing: false });
    const reconciler = new EngineReconciler({ engine, clock: engine.clock });
    reconciler.receive(plan(1, 1, "1"), engine.clock.nowMs());
    await reconciler.step();
    await engine.clock.advance(8_000);
    await reconciler.run();
    assert.deepEqual([engine.accepted, reconciler.state], [[], "waiting"]);
    reconciler.receive(plan(1, 1, "1"), engine.clock.nowMs());
    await reconcile(engine, reconciler);
    assert.deepEqual(engine.versions(), ["1"]);
});

test("an engine that was changed manually is reconciled with the plan again", async () => {
    const engine = new TestEngine({ checksFencing: false });
    const reconciler = new EngineReconciler({ engine, clock: engine.clock });
    reconciler.receive(plan(1, 1, "1"), 0);
    await reconcile(engine, reconciler);
    engine.loadedModels.accept({
        fencingNumber: 0 as FencingNumber,
        action: { kind: "load-model", model, version: "by-hand" as ModelVersion },
    });
    await reconcile(engine, reconciler);
    assert.deepEqual(engine.versions(), ["1"]);
});

test("the old version is unloaded only after the new one is ready", async () => {
    const engine = new TestEngine({ checksFencing: true });
    const reconciler = new EngineReconciler({ engine, clock: engine.clock });
    reconciler.receive(plan(1, 1, "1"), 0);
    await reconcile(engine, reconciler);
    reconciler.receive(plan(1, 2, "2"), 0);
    await reconciler.run();
    assert.deepEqual(engine.versions(), ["1", "2"]);
    await reconcile(engine, reconciler);
    assert.deepEqual(engine.versions(), ["2"]);
});

test("every state of the chart is reachable and has an outgoing event", () => {
    const reached = new Set([reconcilerChart.initial]);
    const frontier = [reconcilerChart.initial];
    for (let state = frontier.pop(); state !== undefined; state = frontier.pop()) {
        const from = state;
        reconcilerChart.events(from).map(event => reconcilerChart.next(from, event)).forEach(next => {
            if (!reached.has(next)) {
                reached.add(next);
                frontier.push(next);
            }
        });
    }
    assert.deepEqual([...reached].sort(), reconcilerChart.states().sort());
    reconcilerChart.states().forEach(state => assert.ok(reconcilerChart.events(state).length > 0));
});
