// Server process of the benchmark. It handles calls and sends its listening address to the parent process.
import { setTimeout as pause } from "node:timers/promises";
import { createBenchEndpoint } from "./createBenchEndpoint.js";
import { runCountsCall } from "./runCountsCall.js";
import { streamCall } from "./streamCall.js";
import type { StreamFrame } from "./streamFrame.js";
import type { StreamRequest } from "./streamRequest.js";

const runCounts = new Map<number, number>();

async function* streamFrames({ callId, frameCount, gapMs }: StreamRequest): AsyncGenerator<StreamFrame> {
    const startedMs = performance.now();
    const runCount = (runCounts.get(callId) ?? 0) + 1;
    runCounts.set(callId, runCount);
    for (let index = 0; index < frameCount; index += 1) {
        await pause(gapMs);
        yield { callId, index, runCount, elapsedMs: performance.now() - startedMs };
    }
}

const endpoint = createBenchEndpoint(`server-${process.pid}`);
endpoint.handle(streamCall, streamFrames);
endpoint.handle(runCountsCall, async function*() {
    yield { calls: runCounts.size, doubled: [...runCounts.values()].filter(count => count > 1).length };
});
process.on("disconnect", () => process.exit());
process.send!(await endpoint.listen());
