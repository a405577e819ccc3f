import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import { defaultSimulationOptions } from "@knapweedwood/fuzz.promises/defaultSimulationOptions";
import { MemorySegmentStore } from "@knapweedwood/fuzz.promises/memorySegmentStore";
import { SimulatedEntry } from "@knapweedwood/fuzz.promises/simulatedEntry";
import { SimulationPlatform } from "@knapweedwood/fuzz.promises/simulationPlatform";
import { createMeasurement } from "./createMeasurement.js";
import type { Measurement } from "./measurement.js";

const SETTLE_MS = 10_000;
const WINDOW_SECONDS = 20;
const MS_PER_SECOND = 1_000;
const CONDITIONS = "entries without jobs, two partitions in all, simulated time; lease calls counted";

/** Measures the key-value calls of the batch roles without jobs, by the number of entries. */
export async function measureBatchIdle(opts: { sizes: number[]; }): Promise<Measurement[]> {
    const points: { size: number; value: number; }[] = [];
    for (const size of opts.sizes) {
        points.push({ size, value: await measurePoint(size) });
    }
    return [createMeasurement({
        name: "batch.idle-calls",
        sizeUnit: "entries",
        unit: "calls/s",
        conditions: CONDITIONS,
        points,
    })];
}

async function measurePoint(entryCount: number): Promise<number> {
    const clock = new ManualClock(1_700_000_000_000);
    const platform = new SimulationPlatform({ clock, options: defaultSimulationOptions });
    const entries = Array.from(
        { length: entryCount },
        (_, index) =>
            new SimulatedEntry({
                platform,
                index,
                incarnation: index,
                seed: index,
                dataFolder: new MemorySegmentStore(),
            }),
    );
    entries.forEach(entry => entry.start());
    await clock.advance(SETTLE_MS);
    const calls = () => {
        const { reads, writes, keepAlives, watches } = platform.keyValue.counters;
        return reads + writes + keepAlives + watches;
    };
    const before = calls();
    await clock.advance(WINDOW_SECONDS * MS_PER_SECOND);
    const perSecond = (calls() - before) / WINDOW_SECONDS;
    entries.forEach(entry => entry.crash());
    platform.keyValue.close();
    return perSecond;
}
