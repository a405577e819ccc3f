import { runOpenLoop } from "@knapweedwood/bench.load/runOpenLoop";
import { setTimeout as sleep } from "node:timers/promises";
import type { ArmDefinition } from "./armDefinition.js";
import { BatchJob } from "./batchJob.js";
import type { CallRecord } from "./callRecord.js";
import { createWorkload } from "./createWorkload.js";
import type { MixedTestBed } from "./mixedTestBed.js";
import type { OnlineCaller } from "./onlineCaller.js";
import type { SliceRecord } from "./sliceRecord.js";
import { sumTotals } from "./sumTotals.js";
import type { WorkloadOptions } from "./workloadOptions.js";

const WARM_UP_MS = 2500;
const SAMPLE_MS = 1000;
const SETTLE_MS = 1200;
/** Batch items submitted per second of a slice; more than the fleet can complete. */
const BATCH_ITEMS_PER_SECOND = 90;
const MS_PER_SECOND = 1000;

/** Clock by `performance.now()`. */
const clock = {
    nowMs: () => performance.now(),
    timeOfDayMs: () => Date.now(),
    setTimer: (delayMs: number, action: () => void) => {
        const handle = setTimeout(action, delayMs);
        return { cancel: () => clearTimeout(handle) };
    },
};

/** Runs one slice of an arm: warm-up, measurement and drain. */
export async function runSlice(opts: {
    arm: ArmDefinition;
    round: number;
    durationMs: number;
    workload: Omit<WorkloadOptions, "durationMs" | "model">;
    testBed: MixedTestBed;
    caller: OnlineCaller;
}): Promise<SliceRecord> {
    const { arm, testBed, caller, durationMs } = opts;
    const totalMs = WARM_UP_MS + durationMs;
    const job = arm.batchModel === undefined ? undefined : await BatchJob.submit(testBed, {
        seed: opts.workload.textSeed,
        model: arm.batchModel,
        items: Math.ceil(totalMs / MS_PER_SECOND * BATCH_ITEMS_PER_SECOND),
    });
    const arrivals = createWorkload({ ...opts.workload, durationMs: totalMs, model: arm.onlineModel });
    const startMs = performance.now() + WARM_UP_MS;
    const records: CallRecord[] = [];
    const calls = runOpenLoop({
        clock,
        arrivals: arrivals.map(arrival => arrival.atMs),
        call: async (index, dueMs) => {
            records.push(await caller.call(arrivals[index]?.request.body ?? {}, dueMs));
        },
    });
    const [samples] = await Promise.all([sampleTotals(testBed, durationMs), calls]);
    await job?.cancel();
    await sleep(SETTLE_MS);
    const first = samples[0];
    const last = samples.at(-1);
    return {
        arm: arm.name,
        round: opts.round,
        durationMs: (last?.atMs ?? 0) - (first?.atMs ?? 0),
        startMs,
        calls: records.filter(record => record.dueMs >= startMs),
        totals: sumTotals([last, first].flatMap(sample => sample?.totals ?? []), [1, -1]),
        batchTokensBySecond: samples.slice(1).map((sample, index) =>
            (sample.totals.batchDecodeTokens - (samples[index]?.totals.batchDecodeTokens ?? 0))
            * MS_PER_SECOND / (sample.atMs - (samples[index]?.atMs ?? 0))
        ),
    };
}

async function sampleTotals(testBed: MixedTestBed, durationMs: number) {
    await sleep(WARM_UP_MS);
    const samples = [{ atMs: performance.now(), totals: await testBed.totals() }];
    for (let count = 0; count < durationMs / SAMPLE_MS; count += 1) {
        await sleep(SAMPLE_MS);
        samples.push({ atMs: performance.now(), totals: await testBed.totals() });
    }
    return samples;
}
