import { availableParallelism, loadavg } from "node:os";
import { setTimeout as sleep } from "node:timers/promises";
import { OverheadExperiment } from "./overheadExperiment.js";
import type { OverheadOptions } from "./overheadOptions.js";
import type { OverheadReport } from "./overheadReport.js";
import { planOf } from "./planOf.js";
import { targetsOf } from "./targetsOf.js";
import { TestBed } from "./testBed.js";

const IDLE_MS = 8000;

/**
 * Measures the overhead of an entry and a side compared with direct calls to the stand-in engine, on real processes on
 * loopback.
 */
export async function runOverhead(opts: OverheadOptions): Promise<OverheadReport> {
    const plan = await planOf(opts);
    const testBed = new TestBed(plan);
    const [loadBefore = 0] = loadavg();
    try {
        await testBed.start();
        await sleep(IDLE_MS);
        const memory = await measureMemory(testBed);
        const experiment = new OverheadExperiment(plan, testBed);
        await experiment.warmUp();
        const requests = await experiment.measureRequests();
        const tokens = await experiment.measureTokens();
        const firstToken = await experiment.measureFirstToken(tokens.entry.meanPerS);
        const processorTime = await experiment.measureProcessorTime();
        await experiment.close();
        const { failures } = experiment;
        const [loadAfter = 0] = loadavg();
        const machine = { loadBefore, loadAfter, processors: availableParallelism() };
        const figures = { requests, tokens, firstToken, processorTime, memory, failures, machine };
        return { ...figures, targets: targetsOf(figures) };
    }
    finally {
        await testBed.stop();
    }
}

async function measureMemory(testBed: TestBed): Promise<OverheadReport["memory"]> {
    const emptyBytes = await testBed.empty.residentMemoryBytes();
    const entryBytes = await testBed.entry.residentMemoryBytes();
    const sideBytes = await testBed.sides[0]!.residentMemoryBytes();
    return {
        emptyBytes,
        entryBytes,
        sideBytes,
        entryBeyondBytes: entryBytes - emptyBytes,
        sideBeyondBytes: sideBytes - emptyBytes,
    };
}
