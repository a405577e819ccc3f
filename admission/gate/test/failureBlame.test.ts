import type { BatchItem } from "@knapweedwood/batch.items/batchItem";
import type { BatchResult } from "@knapweedwood/batch.items/batchResult";
import type { BatchSource } from "@knapweedwood/batch.items/batchSource";
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { ItemIndex } from "@knapweedwood/core.ids/itemIndex";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { GenerateEvent } from "@knapweedwood/engines.model-engine/generateEvent";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { silentMetrics } from "@knapweedwood/observability.metrics/silentMetrics";
import { InMemoryEngine } from "@knapweedwood/standins.engine/inMemoryEngine";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Gate } from "../src/gate.js";

const ITEM_COUNT = 8;
const RUN_MS = 60_000;

/** Hands out each of its items once. */
class OnceSource implements BatchSource {
    readonly results: BatchResult[] = [];
    private items: BatchItem[];

    constructor(prompt: string) {
        this.items = Array.from({ length: ITEM_COUNT }, (_, index) => ({
            jobId: "job" as JobId,
            itemIndex: index as ItemIndex,
            attempt: 1,
            teamId: "team" as TeamId,
            service: "notes" as ServiceName,
            endpoint: "/v1/completions",
            body: { model: "m", prompt: `${prompt} ${index}`, max_tokens: 4 },
            dueAtMs: RUN_MS,
            repeatable: true,
        }));
    }

    pull(count: number): Promise<BatchItem[]> {
        return Promise.resolve(this.items.splice(0, count));
    }

    report(results: BatchResult[]): Promise<void> {
        this.results.push(...results);
        return Promise.resolve();
    }
}

/** Reports its load, but fails every request. */
class BrokenEngine extends InMemoryEngine {
    // eslint-disable-next-line require-yield
    override async *generate(): AsyncGenerator<GenerateEvent> {
        throw await Promise.resolve(new KnapweedError("ENGINE_FAILED", "broken", { outcome: "unknown" }));
    }
}

async function blamesOf(prompt: string, createEngine: (clock: ManualClock) => InMemoryEngine): Promise<string[]> {
    const clock = new ManualClock();
    const source = new OnceSource(prompt);
    const gate = new Gate({
        engine: createEngine(clock),
        clock,
        batchSource: source,
        logger: silentLogger,
        metrics: silentMetrics,
    });
    gate.start();
    await clock.advance(RUN_MS);
    await gate.close();
    return source.results.map(({ outcome }) => outcome.kind === "failed" ? outcome.blame : outcome.kind);
}

test("items that can't complete are blamed, even if nothing else runs", async () => {
    const blames = await blamesOf("[never-completes]", clock => new InMemoryEngine({ clock }));
    assert.deepEqual(blames, Array.from({ length: ITEM_COUNT }, () => "item"));
});

test("an engine that fails every request is blamed after several failed items", async () => {
    const blames = await blamesOf("a lot", clock => new BrokenEngine({ clock }));
    assert.equal(blames.length, ITEM_COUNT);
    assert.ok(blames.filter(blame => blame === "item").length <= 2, blames.join());
});
