import type { BatchItem } from "@knapweedwood/batch.items/batchItem";
import type { BatchResult } from "@knapweedwood/batch.items/batchResult";
import { LinkBatchSource } from "@knapweedwood/batch.source/linkBatchSource";
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { IdempotencyKey } from "@knapweedwood/core.ids/idempotencyKey";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { defaultSimulationOptions } from "@knapweedwood/fuzz.promises/defaultSimulationOptions";
import { InstanceLifecycle } from "@knapweedwood/fuzz.promises/instanceLifecycle";
import { MemoryEndpoint } from "@knapweedwood/fuzz.promises/memoryEndpoint";
import { MemorySegmentStore } from "@knapweedwood/fuzz.promises/memorySegmentStore";
import { SimulatedEntry } from "@knapweedwood/fuzz.promises/simulatedEntry";
import { SimulationPlatform } from "@knapweedwood/fuzz.promises/simulationPlatform";
import { CpuMeter } from "./cpuMeter.js";
import { createMeasurements } from "./createMeasurements.js";
import { heapAfterCollection } from "./heapAfterCollection.js";
import type { Measurement } from "./measurement.js";

const START_TIME_MS = 1_700_000_000_000;
const ENTRY_COUNT = 2;
const PULL_COUNT = 256;
const STEP_MS = 5;
const IDLE_STEP_MS = 100;
const SETTLE_MS = 5_000;
const MAX_IDLE_STEPS = 3_000;
const MS_PER_SECOND = 1_000;
const ENDPOINT = "/v1/chat/completions";
const ITEMS_PER_JOB = 200;
const CONDITIONS = "two entries with all batch roles, in one operating-system process, on simulated time, links and "
    + "segments in memory; the driver's own share is within the processor time";

interface BatchPoint {
    size: number;
    cpuMs: number;
    heapBytes: number;
    calls: number;
    /** Simulated duration. */
    seconds: number;
}

/** Measures the cost of partition owners by the number of items of a job and by the number of concurrent jobs. */
export async function measureBatch(opts: { itemSizes: number[]; jobSizes: number[]; }): Promise<Measurement[]> {
    const byItems: BatchPoint[] = [];
    for (const items of opts.itemSizes) {
        byItems.push({ ...await measurePoint({ jobs: 1, itemsPerJob: items }), size: items });
    }
    const byJobs: BatchPoint[] = [];
    for (const jobs of opts.jobSizes) {
        byJobs.push({ ...await measurePoint({ jobs, itemsPerJob: ITEMS_PER_JOB }), size: jobs });
    }
    return [
        ...measurementsOf("batch.items", "items of a job", byItems),
        ...measurementsOf("batch.jobs", `jobs of ${ITEMS_PER_JOB} items at once`, byJobs),
    ];
}

function measurementsOf(name: string, sizeUnit: string, points: BatchPoint[]): Measurement[] {
    return createMeasurements({
        sizeUnit,
        conditions: CONDITIONS,
        points,
        sizeOf: point => point.size,
        quantities: [
            { name: `${name}.cpu`, unit: "ms", value: point => point.cpuMs },
            { name: `${name}.heap`, unit: "B", value: point => point.heapBytes },
            { name: `${name}.calls`, unit: "calls", value: point => point.calls },
        ],
    });
}

/** Runs jobs until they complete. The heap is measured when half of the items are done. */
async function measurePoint(opts: { jobs: number; itemsPerJob: number; }): Promise<Omit<BatchPoint, "size">> {
    const clock = new ManualClock(START_TIME_MS);
    const platform = new SimulationPlatform({ clock, options: defaultSimulationOptions });
    const entries = Array.from(
        { length: ENTRY_COUNT },
        (_, index) =>
            new SimulatedEntry({
                platform,
                index,
                incarnation: index,
                seed: index,
                dataFolder: new MemorySegmentStore(),
            }),
    );
    platform.holders = () => entries.map(({ instanceId, zone, address }) => ({ instanceId, zone, address }));
    entries.forEach(entry => entry.start());
    await clock.advance(SETTLE_MS);
    const heapBeforeBytes = heapAfterCollection();
    const calls = () => platform.keyValue.counters.reads + platform.keyValue.counters.writes;
    const callsBefore = calls();
    const startedAtMs = clock.nowMs();
    const cpu = new CpuMeter();
    for (let n = 0; n < opts.jobs; n += 1) {
        await settle(clock, createJob(entries[n % ENTRY_COUNT] ?? fail(), n, opts.itemsPerJob));
    }
    const heapBytes = await runItems(platform, entries, opts.jobs * opts.itemsPerJob, heapBeforeBytes);
    const point = {
        cpuMs: cpu.readMs(),
        heapBytes,
        calls: calls() - callsBefore,
        seconds: (clock.nowMs() - startedAtMs) / MS_PER_SECOND,
    };
    await settle(clock, Promise.all(entries.map(entry => entry.stop())));
    platform.keyValue.close();
    return point;
}

async function createJob(entry: SimulatedEntry, n: number, items: number): Promise<unknown> {
    const teamId = `team-${n}` as TeamId;
    const file = await entry.batchService.createFile({
        teamId,
        fileName: "input.jsonl",
        purpose: "batch",
        content: inputLines(items),
    });
    return entry.batchService.createJob({
        teamId,
        inputFileId: file.fileId,
        endpoint: ENDPOINT,
        metadata: {},
        idempotencyKey: `bench-${n}` as IdempotencyKey,
        dueMs: 86_400_000,
    });
}

async function* inputLines(items: number): AsyncIterable<Uint8Array> {
    for (let index = 0; index < items; index += 1) {
        const body = { model: "demo", messages: [{ role: "user", content: `assess lot ${index}` }], max_tokens: 64 };
        yield Buffer.from(`${JSON.stringify({ custom_id: `lot-${index}`, method: "POST", url: ENDPOINT, body })}\n`);
    }
}

/** Pulls items and reports results until all are done. @returns the heap growth at half of the items, in bytes */
async function runItems(
    platform: SimulationPlatform,
    entries: SimulatedEntry[],
    total: number,
    heapBeforeBytes: number,
): Promise<number> {
    const { clock } = platform;
    const source = createSource(platform, entries);
    let done = 0;
    let idleSteps = 0;
    let heapBytes = 0;
    while (done < total && idleSteps < MAX_IDLE_STEPS) {
        const items = await settle(clock, source.pull(PULL_COUNT));
        if (items.length === 0) {
            idleSteps += 1;
            await clock.advance(IDLE_STEP_MS);
            continue;
        }
        await settle(clock, source.report(items.map(toCompletedResult)));
        const isHalfWay = done < total / 2 && done + items.length >= total / 2;
        done += items.length;
        heapBytes = isHalfWay ? heapAfterCollection() - heapBeforeBytes : heapBytes;
    }
    await clock.advance(SETTLE_MS);
    source.stop();
    if (done < total) {
        fail();
    }
    return heapBytes;
}

function createSource(platform: SimulationPlatform, entries: SimulatedEntry[]): LinkBatchSource {
    const endpoint = new MemoryEndpoint({
        identity: { instanceId: "driver", incarnation: 1, kind: "side", zone: "zone-0", region: "test" } as never,
        address: "driver:1",
        lifecycle: new InstanceLifecycle(),
        network: platform.network,
    });
    return new LinkBatchSource({
        endpoint,
        entries: () => entries.map(entry => entry.address),
        service: "chat" as never,
        clock: platform.clock,
        random: new SeededRandom(1),
    });
}

function toCompletedResult(item: BatchItem): BatchResult {
    const { jobId, itemIndex, attempt } = item;
    const body = { choices: [{ index: 0, message: { role: "assistant", content: "assessed, and found in order" } }] };
    return { jobId, itemIndex, attempt, outcome: { kind: "completed", statusCode: 200, body } };
}

/** Advances simulated time until `promise` settles. */
async function settle<Value>(clock: ManualClock, promise: Promise<Value>): Promise<Value> {
    let isSettled = false;
    const finish = () => {
        isSettled = true;
    };
    promise.then(finish, finish);
    await clock.advance(0);
    while (!isSettled) {
        await clock.advance(STEP_MS);
    }
    return promise;
}

function fail(): never {
    throw new Error("the batch jobs did not complete");
}
