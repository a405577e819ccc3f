import { FolderSegmentStore } from "@knapweedwood/batch.segments/folderSegmentStore";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import path from "node:path";
import { CpuMeter } from "./cpuMeter.js";
import { createMeasurement } from "./createMeasurement.js";
import { heapAfterCollection } from "./heapAfterCollection.js";
import type { Measurement } from "./measurement.js";

const SEGMENT_BYTES = 1_000_000;
const CONDITIONS = "one process, segments of 1 MB written, synced and read back once in a temporary folder";

/** Measures the cost of storing segments by their number. */
export async function measureSegments(opts: { sizes: number[]; }): Promise<Measurement[]> {
    const points: { segments: number; cpuMs: number; heapBytes: number; }[] = [];
    for (const segments of opts.sizes) {
        points.push(await measurePoint(segments));
    }
    const common = { sizeUnit: "segments of 1 MB", conditions: CONDITIONS };
    return [
        createMeasurement({
            ...common,
            name: "segments.cpu",
            unit: "ms",
            points: points.map(point => ({ size: point.segments, value: point.cpuMs })),
        }),
        createMeasurement({
            ...common,
            name: "segments.heap",
            unit: "B",
            points: points.map(point => ({ size: point.segments, value: point.heapBytes })),
        }),
    ];
}

async function measurePoint(segments: number): Promise<{ segments: number; cpuMs: number; heapBytes: number; }> {
    const dataFolder = await mkdtemp(path.join(tmpdir(), "knapweed-capacity-"));
    try {
        const store = new FolderSegmentStore({ dataFolder });
        await store.prepare();
        const heapBeforeBytes = heapAfterCollection();
        const cpu = new CpuMeter();
        for (let n = 0; n < segments; n += 1) {
            const digest = await store.put(Buffer.alloc(SEGMENT_BYTES, `segment ${n} `));
            await store.get(digest);
        }
        const cpuMs = cpu.readMs();
        return { segments, cpuMs, heapBytes: heapAfterCollection() - heapBeforeBytes };
    }
    finally {
        await rm(dataFolder, { recursive: true, force: true });
    }
}
