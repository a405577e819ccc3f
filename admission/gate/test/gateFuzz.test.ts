import type { BatchItem } from "@knapweedwood/batch.items/batchItem";
import type { BatchResult } from "@knapweedwood/batch.items/batchResult";
import type { BatchSource } from "@knapweedwood/batch.items/batchSource";
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { ItemIndex } from "@knapweedwood/core.ids/itemIndex";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { GenerateEvent } from "@knapweedwood/engines.model-engine/generateEvent";
import type { GenerateRequest } from "@knapweedwood/engines.model-engine/generateRequest";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { silentMetrics } from "@knapweedwood/observability.metrics/silentMetrics";
import { expectedText } from "@knapweedwood/standins.engine/expectedText";
import { InMemoryEngine } from "@knapweedwood/standins.engine/inMemoryEngine";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Gate } from "../src/gate.js";

const STEP_MODEL = {
    fixedMs: 10,
    perSequenceMs: 1,
    perPrefillTokenMs: 0.05,
    maxSequences: 6,
    maxPrefillTokensPerStep: 256,
    kvTokensLimit: 1200,
    prefixCacheTokens: 640,
    loadLagMs: 400,
};
const OBJECTIVE = { tokenGapObjectiveMs: 16, batchBalance: 1 };
/** Number of online calls that can run concurrently within the objective. */
const ONLINE_SLOTS = 6;
const LONGEST_CALL_TOKENS = 1500 / 4 + 30;
const JOBS = ["job-a", "job-b", "job-c"] as JobId[];

/** Records which requests are in the engine. */
class RecordingEngine extends InMemoryEngine {
    readonly active = new Set<string>();
    peakActive = 0;
    onlineKvTokens = 0;

    override async *generate(request: GenerateRequest, opts: { signal: AbortSignal; }): AsyncGenerator<GenerateEvent> {
        const marker = `${String(request.body.user)}#${Math.random()}`;
        const kvTokens = request.body.user === "online"
            ? Math.ceil(String(request.body.prompt).length / 4) + Number(request.body.max_tokens)
            : 0;
        const removeRequest = () => {
            this.onlineKvTokens -= this.active.delete(marker) ? kvTokens : 0;
        };
        this.active.add(marker);
        this.onlineKvTokens += kvTokens;
        this.peakActive = Math.max(this.peakActive, this.active.size);
        opts.signal.addEventListener("abort", removeRequest);
        try {
            yield* super.generate(request, opts);
        }
        finally {
            removeRequest();
        }
    }
}

/** Hands out items of three jobs and records the reported results. A few of the items can't complete. */
class GeneratedSource implements BatchSource {
    readonly pulled = new Map<string, BatchItem>();
    readonly reported = new Map<string, BatchResult[]>();
    readonly returned: BatchItem[] = [];
    failReports = 0;
    private next = 0;

    pull(count: number): Promise<BatchItem[]> {
        const items = Array.from({ length: Math.min(count, 3) }, () => this.take());
        items.forEach(item => this.pulled.set(keyOf(item), item));
        return Promise.resolve(items);
    }

    report(results: BatchResult[]): Promise<void> {
        if (this.failReports > 0) {
            this.failReports -= 1;
            return Promise.reject(new Error("The owner is unavailable"));
        }
        results.forEach(result => {
            this.reported.set(keyOf(result), [...this.reported.get(keyOf(result)) ?? [], result]);
            const item = this.pulled.get(keyOf(result));
            if (result.outcome.kind === "returned" && item !== undefined) {
                this.returned.push({ ...item, attempt: item.attempt + 1, resumeFrom: result.outcome.resumeFrom });
            }
        });
        return Promise.resolve();
    }

    private take(): BatchItem {
        return this.returned.shift() ?? createItem(this.next++);
    }
}

function keyOf(part: { jobId: JobId; itemIndex: ItemIndex; attempt: number; }): string {
    return `${part.jobId}/${part.itemIndex}/${part.attempt}`;
}

function createItem(index: number): BatchItem {
    const jobId = JOBS[index % JOBS.length] as JobId;
    const promptMarker = index % 17 === 4 ? "[never-completes]" : index % 19 === 5 ? "[malformed]" : "";
    return {
        jobId,
        itemIndex: index as ItemIndex,
        attempt: 1,
        teamId: "team" as TeamId,
        service: "service" as ServiceName,
        endpoint: index % 11 === 3 ? "/v1/embeddings" : "/v1/completions",
        body: {
            model: "m",
            prompt: `Shared instructions. ${"x".repeat(index % 5 * 150)} ${index} ${promptMarker}`,
            max_tokens: 3 + index % 20,
            input: `input ${index}`,
            user: jobId,
        },
        dueAtMs: 1_000_000 + index % 3 * 120_000,
        repeatable: true,
    };
}

type Command =
    | { kind: "online"; characters: number; tokens: number; cancelAfterMs: number | undefined; }
    | { kind: "advance"; durationMs: number; }
    | { kind: "cancel-job"; job: number; }
    | { kind: "fail-reports"; count: number; };

const commands: fc.Arbitrary<Command> = fc.oneof(
    {
        weight: 5,
        arbitrary: fc.record({
            kind: fc.constant("online" as const),
            characters: fc.integer({ min: 1, max: 1500 }),
            tokens: fc.integer({ min: 1, max: 30 }),
            cancelAfterMs: fc.option(fc.integer({ min: 1, max: 200 }), { nil: undefined, freq: 4 }),
        }),
    },
    {
        weight: 5,
        arbitrary: fc.record({ kind: fc.constant("advance" as const), durationMs: fc.integer({ min: 1, max: 400 }) }),
    },
    {
        weight: 1,
        arbitrary: fc.record({ kind: fc.constant("cancel-job" as const), job: fc.integer({ min: 0, max: 2 }) }),
    },
    {
        weight: 1,
        arbitrary: fc.record({ kind: fc.constant("fail-reports" as const), count: fc.integer({ min: 1, max: 3 }) }),
    },
);

class Scenario {
    readonly clock = new ManualClock();
    readonly engine = new RecordingEngine({ clock: this.clock, stepModel: STEP_MODEL });
    readonly source = new GeneratedSource();
    readonly cancelled = new Set<JobId>();
    readonly calls: Promise<void>[] = [];
    readonly gate = new Gate({
        engine: this.engine,
        clock: this.clock,
        logger: silentLogger,
        metrics: silentMetrics,
        batchSource: this.source,
        objective: OBJECTIVE,
    });

    async run(command: Command): Promise<void> {
        switch (command.kind) {
            case "online":
                this.calls.push(this.call(command));
                return;
            case "advance":
                await this.clock.advance(command.durationMs);
                this.checkNow();
                return;
            case "cancel-job":
                this.cancelled.add(JOBS[command.job] as JobId);
                this.gate.cancelJob(JOBS[command.job] as JobId);
                this.checkNow();
                return;
            case "fail-reports":
                this.source.failReports = command.count;
        }
    }

    async end(): Promise<void> {
        const closed = this.gate.close();
        let isClosed = false;
        void closed.then(() => {
            isClosed = true;
        });
        for (let round = 0; round < 400 && !isClosed; round += 1) {
            await this.clock.advance(100);
        }
        assert.ok(isClosed, "the gate did not close");
        await Promise.all(this.calls);
        this.source.pulled.forEach((_item, key) => assert.equal(this.source.reported.get(key)?.length, 1, key));
        assert.equal(this.source.reported.size, this.source.pulled.size);
        [...this.source.reported.values()].flat().forEach(result => this.checkResult(result));
    }

    private async call(command: Extract<Command, { kind: "online"; }>): Promise<void> {
        const abort = new AbortController();
        if (command.cancelAfterMs !== undefined) {
            this.clock.setTimer(command.cancelAfterMs, () => abort.abort());
        }
        const request: GenerateRequest = {
            endpoint: "/v1/completions",
            body: { model: "m", prompt: "q".repeat(command.characters), max_tokens: command.tokens, user: "online" },
        };
        let text = "";
        try {
            for await (const event of this.gate.runOnline(request, { signal: abort.signal })) {
                text += event.kind === "chunk" ? event.text : "";
            }
            assert.equal(text, expectedText(request));
        }
        catch (thrown) {
            assert.ok(abort.signal.aborted, String(thrown));
        }
    }

    private checkNow(): void {
        const load = this.gate.load();
        assert.ok(this.engine.peakActive <= STEP_MODEL.maxSequences, "a request had to wait inside the engine");
        assert.ok(load.onlineQueued === 0 || load.onlineRunning > 0, "online calls wait while none runs");
        if (load.onlineQueued > 0 && load.onlineRunning < ONLINE_SLOTS) {
            assert.ok(this.isKvFull(), "online calls wait behind batch work");
        }
        this.cancelled.forEach(jobId =>
            assert.ok(![...this.engine.active].some(marker => marker.startsWith(`${jobId}#`)), `${jobId} still runs`)
        );
    }

    /** Whether online calls alone use so much KV memory that a long call may have to wait. */
    private isKvFull(): boolean {
        return this.engine.onlineKvTokens + LONGEST_CALL_TOKENS > STEP_MODEL.kvTokensLimit;
    }

    private checkResult(result: BatchResult): void {
        const item = this.source.pulled.get(keyOf(result)) as BatchItem;
        const prompt = String(item.body.prompt);
        const { outcome } = result;
        if (outcome.kind === "completed") {
            assert.ok(!prompt.includes("[") || item.endpoint === "/v1/embeddings");
            const choices = outcome.body.choices as { text: string; }[] | undefined;
            const request = { endpoint: "/v1/completions" as const, body: item.body };
            assert.equal(choices?.[0]?.text, choices === undefined ? undefined : expectedText(request));
        }
        if (outcome.kind === "rejected") {
            assert.ok(prompt.includes("[malformed]"));
        }
        if (outcome.kind === "failed") {
            assert.ok(prompt.includes("[never-completes]"));
        }
    }
}

test("online calls never wait behind batch work, each item is reported once, and a cancelled job stops", async () => {
    await fc.assert(
        fc.asyncProperty(fc.array(commands, { minLength: 5, maxLength: 60 }), async list => {
            const scenario = new Scenario();
            scenario.gate.start();
            await scenario.clock.advance(200);
            for (const command of list) {
                await scenario.run(command);
            }
            await scenario.end();
        }),
        { seed: 5, numRuns: 60 },
    );
});

test("batch work continues between online calls, and preempted items are resumed", async () => {
    const scenario = new Scenario();
    scenario.gate.start();
    await scenario.clock.advance(500);
    for (let round = 0; round < 40; round += 1) {
        await scenario.run({ kind: "online", characters: 400, tokens: 8, cancelAfterMs: undefined });
        await scenario.run({ kind: "advance", durationMs: 150 });
    }
    assert.ok(scenario.gate.load().preemptions > 0, "nothing was preempted");
    const outcomes = [...scenario.source.reported.values()].flat().map(result => result.outcome.kind);
    assert.ok(outcomes.filter(kind => kind === "completed").length > 50, outcomes.join());
    await scenario.end();
});
